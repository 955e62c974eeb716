#include "policy/workspace_limits.h"

#include <criterion/criterion.h>

#include <array>
#include <random>

namespace meadowthread {
namespace {

Test(a_workspace_limit, refuses_with_a_retry_time) {
  WorkspaceLimits limits;
  limits.SetLimit("lab", {2.0, 0.0, 0});
  int admitted = 0;
  LimitDecision last;
  for (int i = 0; i < 10; ++i) {
    last = limits.Admit("lab", 10, 0, 1);
    admitted += last.reached == LimitReached::kNone ? 1 : 0;
  }
  cr_assert(admitted == 4);
  cr_assert(last.reached == LimitReached::kRequests);
  cr_assert(last.retry_after_ms > 0);
  cr_assert(limits.Admit("lab", 10, 1'000, 1).reached == LimitReached::kNone);
  cr_assert(limits.Admit("free", 10, 0, 1).reached == LimitReached::kNone);
}

Test(a_workspace_limit, counts_the_tokens_actually_used) {
  WorkspaceLimits limits;
  limits.SetLimit("lab", {0.0, 100.0, 0});
  cr_assert(limits.Admit("lab", 200, 0, 1).reached == LimitReached::kNone);
  cr_assert(limits.Admit("lab", 10, 0, 1).reached == LimitReached::kTokens);
  limits.Ended("lab", 200, 50);
  cr_assert(limits.Admit("lab", 10, 0, 1).reached == LimitReached::kNone);
}

Test(a_workspace_limit, limits_concurrent_requests) {
  WorkspaceLimits limits;
  limits.SetLimit("lab", {0.0, 0.0, 2});
  limits.Admit("lab", 1, 0, 1);
  limits.Admit("lab", 1, 0, 1);
  cr_assert(limits.Admit("lab", 1, 0, 1).reached == LimitReached::kConcurrent);
  limits.Ended("lab", 1, 1);
  cr_assert(limits.Admit("lab", 1, 0, 1).reached == LimitReached::kNone);
}

Test(a_workspace_limit, falls_back_to_an_even_share_when_cut_off) {
  WorkspaceLimits limits;
  limits.SetLimit("lab", {8.0, 0.0, 0});
  limits.SetHosts(4);
  cr_assert(limits.Share("lab", 0) == 0.25);
}

/// Offers far more than the limit to three hosts, most of it to the first, and
/// returns the number of requests admitted in the second half of the time.
int AdmittedByThree(double limit_per_second) {
  std::array<WorkspaceLimits, 3> hosts;
  const std::array<double, 3> shares = {0.7, 0.2, 0.1};
  for (WorkspaceLimits& host : hosts) {
    host.SetLimit("lab", {limit_per_second, 0.0, 0});
    host.SetHosts(3);
  }
  std::mt19937_64 random(5);
  std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
  int admitted = 0;
  constexpr std::int64_t kEnd = 120'000;
  for (std::int64_t now = 0; now < kEnd; now += 10) {
    WorkspaceLimits& host = hosts[pick(random)];
    const bool passed =
        host.Admit("lab", 1, now, random()).reached == LimitReached::kNone;
    admitted += passed && now >= kEnd / 2 ? 1 : 0;
    for (std::size_t i = 0; now % 1'000 == 0 && i < 3; ++i) {
      for (const PeerWorkspaceUsage& use :
           hosts[i].OwnUse(std::to_string(i), now)) {
        for (std::size_t j = 0; j < 3; ++j) {
          if (j != i) {
            hosts[j].NotePeerUse(use);
          }
        }
      }
    }
  }
  return admitted;
}

Test(a_workspace_limit, holds_across_hosts_that_exchange_usage) {
  const int admitted = AdmittedByThree(20.0);
  constexpr int kAllowed = 20 * 60;
  cr_assert(admitted <= kAllowed * 1.1);
  cr_assert(admitted >= kAllowed * 0.85);
}

}  // namespace
}  // namespace meadowthread
