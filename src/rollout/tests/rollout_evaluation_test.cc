// What an evaluating host concludes from reports that come late or not at all.
#include "rollout/rollout_evaluation.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr RolloutLimits kLimits = {0.1, 50.0};
constexpr std::int64_t kStartMs = 100'000;
constexpr std::int64_t kDurationMs = 12'000;
constexpr std::int64_t kSilentMs = 3'000;
constexpr int kHosts = 200;

std::vector<std::string> Names() {
  std::vector<std::string> names;
  names.reserve(kHosts);
  for (int n = 0; n < kHosts; ++n) {
    names.push_back(absl::StrCat("front-", n));
  }
  return names;
}

RolloutOrder Order() { return {"pool", "v2", kDurationMs}; }

RolloutReport Report(const std::string& host, std::int64_t requests) {
  RolloutReport report;
  report.order = Order();
  report.process = host;
  report.requests = requests;
  return report;
}

/// @brief The share on trial two seconds after the order, when each host has
/// taken two requests a second but only some have reported yet.
double ShareWhenReported(int reporting) {
  RolloutEvaluation evaluation(Order(), kLimits, kStartMs, kStartMs);
  const std::vector<std::string> names = Names();
  constexpr std::int64_t kAfterMs = 2'000;
  for (int n = 0; n < reporting; ++n) {
    evaluation.Apply(names[static_cast<std::size_t>(n)],
                     Report(names[static_cast<std::size_t>(n)], 4),
                     kStartMs + kAfterMs);
  }
  evaluation.Advance(names, kSilentMs, kStartMs + kAfterMs);
  return evaluation.Controller().Share();
}

Test(a_version_on_trial, gets_no_larger_share_while_most_reports_are_to_come) {
  const double when_all_reported = ShareWhenReported(kHosts);
  cr_assert(when_all_reported > 0.0);
  for (const int reporting : {kHosts / 2, kHosts / 10, 5}) {
    cr_assert(ShareWhenReported(reporting) <= when_all_reported * 1.01,
              "%d of %d hosts reported", reporting, kHosts);
  }
}

Test(hosts_that_hold_up_a_rollout, are_named_until_they_report) {
  RolloutEvaluation evaluation(Order(), kLimits, kStartMs, kStartMs);
  evaluation.Adopt(RolloutStage::kEmptying, kStartMs);
  const std::vector<std::string> names = {"front-1", "front-2", "front-3"};
  RolloutReport idle = Report("front-2", 1);
  idle.others_idle = true;
  evaluation.Apply("front-2", idle, kStartMs + 100);
  evaluation.Apply("front-3", Report("front-3", 1), kStartMs + 100);
  const std::vector<std::string> both = {"front-1", "front-3"};
  const std::vector<std::string> first = {"front-1"};
  cr_assert(evaluation.HostsNotIdle(names, 10) == both);
  cr_assert(evaluation.HostsNotIdle(names, 1) == first);
}

}  // namespace
}  // namespace meadowthread
