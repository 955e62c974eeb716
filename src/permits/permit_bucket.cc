#include "permits/permit_bucket.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>

namespace meadowthread {
namespace {

constexpr double kMsPerSecond = 1'000.0;
// Permits that may be saved: one, one for each of the other urgencies that a
// permit is left to, and a quarter of a second's worth, as requests arrive
// unevenly.
constexpr double kBurstBase = kUrgencyCount;
constexpr double kBurstSeconds = 0.25;
// An urgency counts as asking for this long, and for as long as this many
// permits take to come.
constexpr std::int64_t kMinAskingMs = 2'000;
constexpr double kAskingPermits = 3.0;
constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::min() / 2;
// Sums of refilled parts may stay below a whole permit by this much.
constexpr double kRounding = 1e-6;

std::size_t IndexOf(Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

}  // namespace

// Begins empty: a host that takes over from another one does not know what that
// one granted last.
PermitBucket::PermitBucket(double per_s, std::int64_t now_ms)
    : per_s(per_s), filled_ms(now_ms) {
  this->asked_ms.fill(kNever);
  this->promised_ms.fill(kNever);
}

double PermitBucket::Burst() const {
  return kBurstBase + kBurstSeconds * this->per_s;
}

void PermitBucket::Fill(std::int64_t now_ms) {
  const auto passed_ms =
      static_cast<double>(std::max<std::int64_t>(0, now_ms - this->filled_ms));
  this->tokens = std::min(
      this->Burst(), this->tokens + this->per_s * passed_ms / kMsPerSecond);
  this->filled_ms = std::max(this->filled_ms, now_ms);
}

void PermitBucket::SetRate(double rate_per_s, std::int64_t now_ms) {
  if (rate_per_s == this->per_s) {
    return;
  }
  this->Fill(now_ms);
  this->per_s = rate_per_s;
  this->tokens = std::min(this->tokens, this->Burst());
}

// A request leaves one permit for each more urgent class that asked lately.
double PermitBucket::Reserved(Urgency urgency, std::int64_t now_ms) const {
  const auto asking_ms = std::max(
      kMinAskingMs,
      static_cast<std::int64_t>(kAskingPermits * kMsPerSecond / this->per_s));
  double reserved = 0.0;
  for (std::size_t more = 0; more < IndexOf(urgency); ++more) {
    reserved += now_ms - this->asked_ms.at(more) < asking_ms ? 1.0 : 0.0;
  }
  return reserved;
}

// Each refused caller is promised a later permit than those before it, behind
// the callers that are as urgent or more so.
std::int64_t PermitBucket::ReserveReturn(Urgency urgency, double missing,
                                         std::int64_t now_ms) {
  const double permit_ms = kMsPerSecond / this->per_s;
  const std::int64_t latest_ms = now_ms + kMaxPermitRetryMs;
  for (std::size_t at = IndexOf(urgency); at < this->promised_ms.size(); ++at) {
    const double from =
        static_cast<double>(std::max(this->promised_ms.at(at), now_ms));
    this->promised_ms.at(at) = std::min(
        latest_ms, static_cast<std::int64_t>(std::ceil(from + permit_ms)));
  }
  const auto filled_in_ms =
      static_cast<std::int64_t>(std::ceil(missing * permit_ms));
  const std::int64_t in_turn_ms =
      this->promised_ms.at(IndexOf(urgency)) - now_ms;
  return std::clamp<std::int64_t>(std::max(filled_in_ms, in_turn_ms), 1,
                                  kMaxPermitRetryMs);
}

PermitDecision PermitBucket::Take(Urgency urgency, std::int64_t now_ms) {
  this->Fill(now_ms);
  this->asked_ms.at(IndexOf(urgency)) = now_ms;
  const double needed = 1.0 + this->Reserved(urgency, now_ms);
  if (this->tokens + kRounding >= needed) {
    this->tokens -= 1.0;
    return {true, 0};
  }
  return {false, this->ReserveReturn(urgency, needed - this->tokens, now_ms)};
}

}  // namespace meadowthread
