#include "relay/backend_health.h"

#include <algorithm>
#include <cmath>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// Age at which an attempt's result counts half. It is short because servers
// recover within seconds, and the failure rate has to drop as quickly.
constexpr double kHalfLifeMs = 4'000.0;
// Counts as this many good requests, so that a single failure weighs little.
// Without failures the rate is 0, however much is known of the server: one
// that had no requests for a time must not cost more than the others.
constexpr double kPriorCount = 3.0;
// A server that is unreachable, or sends answers without end, is avoided for
// this long, doubled for each further consecutive failure.
constexpr std::int64_t kFirstBackoffMs = 400;
constexpr std::int64_t kMaxBackoffMs = 6'400;
constexpr int kMaxDoublings = 4;

// Whether the server is to be avoided for a time after a single such result.
bool CausesBackoff(AttemptResult result) {
  return result == AttemptResult::kUnreachable ||
         result == AttemptResult::kExceededLimit;
}

}  // namespace

std::optional<AttemptResult> AttemptResultOf(int number) {
  const bool is_one = number >= static_cast<int>(AttemptResult::kGood) &&
                      number <= static_cast<int>(AttemptResult::kExceededLimit);
  return is_one ? std::optional(static_cast<AttemptResult>(number))
                : std::nullopt;
}

double BackendHealth::DecayOf(const Record& record, std::int64_t now_ms) {
  const auto since = static_cast<double>(now_ms - record.counted_ms);
  return std::exp2(-std::max(0.0, since) / kHalfLifeMs);
}

void BackendHealth::RecordAttempt(std::string_view id, AttemptResult result,
                                  std::int64_t now_ms) {
  this->Apply({id, 0.0, 0, result, false}, now_ms);
}

// Several hosts may find a server unreachable at the same moment. Their reports
// count as one failure, not as consecutive ones that would each double the
// backoff.
void BackendHealth::RecordPeerAttempt(std::string_view id, AttemptResult result,
                                      std::int64_t now_ms) {
  if (CausesBackoff(result) && !this->IsUsable(id, now_ms)) {
    return;
  }
  this->Apply({id, 0.0, 0, result, true}, now_ms);
}

void BackendHealth::Apply(HealthUpdate update, std::int64_t now_ms) {
  const std::string_view id = update.id;
  const AttemptResult result = update.result;
  Record& record = this->records[std::string(id)];
  const double decay = DecayOf(record, now_ms);
  record.good *= decay;
  record.failed *= decay;
  record.counted_ms = now_ms;
  if (CausesBackoff(result)) {
    const int doublings = std::min(record.backoffs, kMaxDoublings);
    const std::int64_t backoff_ms =
        std::min(kMaxBackoffMs, kFirstBackoffMs << doublings);
    ++record.backoffs;
    record.backoff_until_ms = now_ms + backoff_ms;
    record.failed += 1.0;
    LogLine("backend-aside")
        .Add("id", id)
        .Add("in_a_row", record.backoffs)
        .Add("for_ms", backoff_ms)
        .WriteImportant();
  } else {
    record.backoffs = 0;
    (result == AttemptResult::kGood ? record.good : record.failed) += 1.0;
  }
  if (this->listener) {
    update.failure_share = this->FailureRate(id, now_ms);
    update.backoff_ms =
        std::max<std::int64_t>(0, record.backoff_until_ms - now_ms);
    this->listener(update);
  }
}

bool BackendHealth::IsUsable(std::string_view id, std::int64_t now_ms) const {
  const auto found = this->records.find(id);
  return found == this->records.end() ||
         found->second.backoff_until_ms <= now_ms;
}

double BackendHealth::FailureRate(std::string_view id,
                                  std::int64_t now_ms) const {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return 0.0;
  }
  const Record& record = found->second;
  const double decay = DecayOf(record, now_ms);
  const double failed = record.failed * decay;
  const double all = (record.failed + record.good) * decay + kPriorCount;
  return failed / all;
}

int BackendHealth::InProgress(std::string_view id) const {
  const auto found = this->records.find(id);
  return found == this->records.end() ? 0 : found->second.in_progress;
}

void BackendHealth::NoteAttemptStarted(std::string_view id) {
  ++this->records[std::string(id)].in_progress;
}

void BackendHealth::NoteAttemptEnded(std::string_view id) {
  const auto found = this->records.find(id);
  if (found != this->records.end()) {
    --found->second.in_progress;
  }
}

void BackendHealth::Forget(std::string_view id) {
  const auto found = this->records.find(id);
  if (found != this->records.end()) {
    this->records.erase(found);
  }
}

}  // namespace meadowthread
