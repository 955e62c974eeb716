#include "permits/rejection_limits.h"

#include <algorithm>
#include <cmath>

#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr double kMsPerSecond = 1'000.0;
// Part of the rejections that it bears which a server that stays full gets:
// requests on their way are rejected as well.
constexpr double kFullPart = 0.5;
// Part of the rejections that it bears at which the rate is lowered.
constexpr double kToleratedPart = 0.4;
constexpr std::int64_t kCountedMs = 1'000;
// Part of the rate at a rejection with which the search goes on.
constexpr double kStepBack = 0.5;
constexpr double kMinPerS = 0.5;
constexpr double kMaxPerS = 1e6;
// The rate doubles within the time of so many rejections that the server bears,
// so that a search upward finds its limit half as often.
constexpr double kDoublingRejections = 6.0;
constexpr double kMinDoublingMs = 500.0;
constexpr double kMaxDoublingMs = 6'000.0;
// After this time without a rejection the server is not full any more.
constexpr std::int64_t kRecoveredMs = 6'000;
// Rejections of requests that were on their way together count as one.
constexpr std::int64_t kSameMomentMs = 100;
// Time constant of the count of requests that the server ran.
constexpr double kRanMs = 1'000.0;
// Servers of which other hosts may tell. Far more than any fleet has.
constexpr std::size_t kMaxServers = 50'000;

double FullRate(double bears_per_s) {
  return std::max(kMinPerS, kFullPart * bears_per_s);
}

// A rejection this soon after the last one shows that the server stays full.
double SoonMs(double bears_per_s) {
  return kMsPerSecond / FullRate(bears_per_s);
}

double DoublingMs(double bears_per_s) {
  return std::clamp(kDoublingRejections * kMsPerSecond / bears_per_s,
                    kMinDoublingMs, kMaxDoublingMs);
}

double DecayedRan(double ran, std::int64_t since_ms) {
  return ran * std::exp(-static_cast<double>(since_ms) / kRanMs);
}

}  // namespace

void RejectionLimits::NoteBrittle(std::string_view server, double bears_per_s) {
  const double kept = std::clamp(bears_per_s, kMinPerS, kMaxPerS);
  const auto [place, is_new] =
      this->brittle.try_emplace(server, Brittle{kept, 0.0, 0});
  place->second.bears_per_s = kept;
  if (is_new) {
    LogLine("server-brittle")
        .Add("server", server)
        .Add("bears_per_s", kept)
        .WriteImportant();
  }
}

// The time in which the rate doubles. Raising the limit and raising the rate
// may each cause one rejection in that time, together too few to lower the
// rate.
std::int64_t RejectionLimits::RaiseAfterMs(std::string_view server) const {
  const Rejection* const last = this->Find(server);
  return static_cast<std::int64_t>(
      last == nullptr ? kMaxDoublingMs : DoublingMs(last->bears_per_s));
}

void RejectionLimits::NoteRan(std::string_view server, std::int64_t now_ms) {
  const auto found = this->brittle.find(server);
  if (found != this->brittle.end()) {
    Brittle& known = found->second;
    known.ran = DecayedRan(known.ran, now_ms - known.ran_ms) + 1.0;
    known.ran_ms = now_ms;
  }
}

// Until a rate is in force, what the server takes is estimated, as if all hosts
// sent as much as this one. An estimate that is too high shows by the next
// rejections.
std::optional<Rejection> RejectionLimits::Describe(std::string_view server,
                                                   std::size_t hosts,
                                                   std::int64_t now_ms) const {
  const auto found = this->brittle.find(server);
  if (found == this->brittle.end()) {
    return std::nullopt;
  }
  const Brittle& known = found->second;
  const double taken_per_s =
      DecayedRan(known.ran, now_ms - known.ran_ms) * static_cast<double>(hosts);
  return Rejection{known.bears_per_s, kStepBack * taken_per_s, now_ms};
}

bool RejectionLimits::Count(std::string_view server,
                            const Rejection& rejection) {
  const std::int64_t now_ms = rejection.at_ms;
  std::deque<std::int64_t>& counted = this->counted_ms[std::string(server)];
  counted.push_back(now_ms);
  while (now_ms - counted.front() >= kCountedMs) {
    counted.pop_front();
  }
  const double most =
      std::max(1.0, std::floor(kToleratedPart * rejection.bears_per_s));
  if (static_cast<double>(counted.size()) < most) {
    return false;
  }
  counted.clear();
  Rejection next = rejection;
  if (const std::optional<double> in_force = this->RateOf(server, now_ms)) {
    const auto since_ms =
        static_cast<double>(now_ms - this->Find(server)->at_ms);
    next.rate_per_s =
        since_ms < SoonMs(rejection.bears_per_s) ? 0.0 : kStepBack * *in_force;
  }
  return this->Apply(server, next);
}

bool RejectionLimits::Apply(std::string_view server, const Rejection& told) {
  if (this->rejections.size() >= kMaxServers) {
    return false;
  }
  Rejection kept = told;
  kept.bears_per_s = std::clamp(told.bears_per_s, kMinPerS, kMaxPerS);
  kept.rate_per_s =
      std::clamp(told.rate_per_s, FullRate(kept.bears_per_s), kMaxPerS);
  const auto [place, is_new] = this->rejections.try_emplace(server, kept);
  if (!is_new && told.at_ms - place->second.at_ms <= kSameMomentMs) {
    return false;
  }
  place->second = kept;
  LogLine("server-full")
      .Add("server", server)
      .Add("bears_per_s", kept.bears_per_s)
      .Add("rate_per_s", kept.rate_per_s)
      .WriteImportant();
  return true;
}

std::optional<double> RejectionLimits::RateOf(std::string_view server,
                                              std::int64_t now_ms) const {
  const Rejection* const last = this->Find(server);
  if (last == nullptr || now_ms - last->at_ms >= kRecoveredMs) {
    return std::nullopt;
  }
  const auto since_ms =
      static_cast<double>(std::max<std::int64_t>(0, now_ms - last->at_ms));
  return last->rate_per_s * std::exp2(since_ms / DoublingMs(last->bears_per_s));
}

const Rejection* RejectionLimits::Find(std::string_view server) const {
  const auto found = this->rejections.find(server);
  return found == this->rejections.end() ? nullptr : &found->second;
}

void RejectionLimits::Remove(std::string_view server) {
  this->brittle.erase(server);
  this->counted_ms.erase(server);
  this->rejections.erase(server);
}

}  // namespace meadowthread
