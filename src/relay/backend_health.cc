#include "relay/backend_health.h"

#include <algorithm>
#include <cmath>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// What a server did this long ago counts for half: it recovers in seconds, and
// so does the host's trust.
constexpr double kHalfLifeMs = 4'000.0;
// Requests that the expectation of few failures counts for.
constexpr double kPriorCount = 3.0;
constexpr double kPriorFailures = 0.1;
// A server that can't be reached is left alone this long, doubled each time.
constexpr std::int64_t kFirstAsideMs = 400;
constexpr std::int64_t kMostAsideMs = 6'400;
constexpr int kMostDoublings = 4;

}  // namespace

std::optional<AttemptResult> AttemptResultOf(int number) {
  const bool is_one = number >= static_cast<int>(AttemptResult::kGood) &&
                      number <= static_cast<int>(AttemptResult::kUnreachable);
  return is_one ? std::optional(static_cast<AttemptResult>(number))
                : std::nullopt;
}

double BackendHealth::DecayOf(const Record& record, std::int64_t now_ms) {
  const auto since = static_cast<double>(now_ms - record.counted_ms);
  return std::exp2(-std::max(0.0, since) / kHalfLifeMs);
}

void BackendHealth::Note(std::string_view id, AttemptResult result,
                         std::int64_t now_ms) {
  this->Take({id, 0.0, 0, result, false}, now_ms);
}

// Several hosts find out at one moment that a server is gone: that is one
// finding, not several in a row.
void BackendHealth::NoteTold(std::string_view id, AttemptResult result,
                             std::int64_t now_ms) {
  if (result == AttemptResult::kUnreachable && !this->MayUse(id, now_ms)) {
    return;
  }
  this->Take({id, 0.0, 0, result, true}, now_ms);
}

void BackendHealth::Take(HealthNews news, std::int64_t now_ms) {
  const std::string_view id = news.id;
  const AttemptResult result = news.result;
  Record& record = this->records[std::string(id)];
  const double decay = DecayOf(record, now_ms);
  record.good *= decay;
  record.failed *= decay;
  record.counted_ms = now_ms;
  if (result == AttemptResult::kUnreachable) {
    const int doublings = std::min(record.unreachable, kMostDoublings);
    const std::int64_t aside_ms =
        std::min(kMostAsideMs, kFirstAsideMs << doublings);
    ++record.unreachable;
    record.aside_until_ms = now_ms + aside_ms;
    record.failed += 1.0;
    LogLine("backend-aside")
        .Add("id", id)
        .Add("in_a_row", record.unreachable)
        .Add("for_ms", aside_ms)
        .WriteImportant();
  } else {
    record.unreachable = 0;
    (result == AttemptResult::kGood ? record.good : record.failed) += 1.0;
  }
  if (this->listener) {
    news.failure_share = this->FailureShare(id, now_ms);
    news.aside_ms = std::max<std::int64_t>(0, record.aside_until_ms - now_ms);
    this->listener(news);
  }
}

bool BackendHealth::MayUse(std::string_view id, std::int64_t now_ms) const {
  const auto found = this->records.find(id);
  return found == this->records.end() || found->second.aside_until_ms <= now_ms;
}

double BackendHealth::FailureShare(std::string_view id,
                                   std::int64_t now_ms) const {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return 0.0;
  }
  const Record& record = found->second;
  const double decay = DecayOf(record, now_ms);
  const double failed = record.failed * decay + kPriorFailures;
  const double all = (record.failed + record.good) * decay + kPriorCount;
  return failed / all;
}

int BackendHealth::InProgress(std::string_view id) const {
  const auto found = this->records.find(id);
  return found == this->records.end() ? 0 : found->second.in_progress;
}

void BackendHealth::NoteBegun(std::string_view id) {
  ++this->records[std::string(id)].in_progress;
}

void BackendHealth::NoteOver(std::string_view id) {
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
