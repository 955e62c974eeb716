// What hosts send together while no host grants permits.
#include "permits/fallback_share.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace meadowthread {
namespace {

constexpr std::int64_t kSpanMs = 4'000;

Test(hosts_that_hear_nobody, stay_within_half_of_the_rate_together) {
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> any(0.0, 1.0);
  for (const std::size_t hosts :
       {std::size_t{1}, std::size_t{9}, std::size_t{99}, std::size_t{985}}) {
    for (const double per_s : {0.3, 4.4, 100.0}) {
      std::vector<FallbackShare> shares;
      for (std::size_t n = 0; n < hosts; ++n) {
        shares.emplace_back(any(random));
      }
      std::deque<std::int64_t> sent;
      std::size_t most = 0;
      std::size_t all = 0;
      for (std::int64_t now_ms = 0; now_ms < 30'000; now_ms += 10) {
        for (FallbackShare& share : shares) {
          if (share.Take(per_s, hosts, now_ms).granted) {
            sent.push_back(now_ms);
            ++all;
          }
        }
        while (!sent.empty() && now_ms - sent.front() >= kSpanMs) {
          sent.pop_front();
        }
        most = std::max(most, sent.size());
      }
      cr_assert(static_cast<double>(most) <= 0.5 * 4.0 * per_s + 5.0,
                "%zu requests at %.1f from %zu hosts", most, per_s, hosts);
      cr_assert(per_s < 4.0 || all > 0);
    }
  }
}

// Permits that were due while nobody asked would all be used at once.
Test(hosts_that_lose_the_granting_host_at_once, send_no_burst) {
  std::vector<FallbackShare> shares;
  for (int n = 0; n < 99; ++n) {
    shares.emplace_back(static_cast<double>(n) / 99.0);
    shares.back().Take(4.4, 99, 0);
  }
  int sent = 0;
  for (FallbackShare& share : shares) {
    sent += share.Take(4.4, 99, 600'000).granted ? 1 : 0;
  }
  cr_assert(sent <= 1, "%d", sent);
}

}  // namespace
}  // namespace meadowthread
