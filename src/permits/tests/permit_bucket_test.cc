// How the host that grants a server's permits shares them out.
#include "permits/permit_bucket.h"

#include <criterion/criterion.h>

#include <deque>

namespace meadowthread {
namespace {

constexpr std::int64_t kSpanMs = 4'000;

/// @brief Asks at a steady pace and returns the most permits within kSpanMs.
int MostWithinSpan(PermitBucket& bucket, std::int64_t from_ms,
                   std::int64_t until_ms, std::int64_t every_ms) {
  std::deque<std::int64_t> granted;
  std::size_t most = 0;
  for (std::int64_t now_ms = from_ms; now_ms < until_ms; now_ms += every_ms) {
    if (bucket.Take(Urgency::kNormal, now_ms).granted) {
      granted.push_back(now_ms);
    }
    while (!granted.empty() && now_ms - granted.front() >= kSpanMs) {
      granted.pop_front();
    }
    most = std::max(most, granted.size());
  }
  return static_cast<int>(most);
}

Test(permits, keep_to_the_named_rate_in_every_span) {
  for (const double per_s : {0.3, 0.8, 1.0, 4.4, 30.0, 300.0}) {
    PermitBucket bucket(per_s, 0);
    const int most = MostWithinSpan(bucket, 0, 60'000, 1);
    cr_assert(most <= 4.0 * per_s + 3.0 + 0.25 * per_s, "%d at %.1f", most,
              per_s);
    cr_assert(most >= 4.0 * per_s - 1.0, "%d at %.1f", most, per_s);
  }
}

Test(permits, are_not_saved_up_while_nobody_asks) {
  PermitBucket bucket(4.4, 0);
  const int most = MostWithinSpan(bucket, 600'000, 604'000, 1);
  cr_assert(most <= 1.5 * 4.4 * 4 + 5, "%d", most);
}

Test(permits, follow_a_rate_that_falls) {
  PermitBucket bucket(100.0, 0);
  MostWithinSpan(bucket, 0, 5'000, 1);
  bucket.SetRate(0.8, 5'000);
  const int most = MostWithinSpan(bucket, 5'000, 15'000, 1);
  cr_assert(most <= 1.5 * 0.8 * 4 + 5, "%d", most);
}

// With a rate below what all ask for, the more urgent ones get it.
Test(urgent_requests, take_permits_before_others) {
  PermitBucket bucket(4.0, 0);
  int urgent = 0;
  int batch = 0;
  for (std::int64_t now_ms = 0; now_ms < 20'000; now_ms += 50) {
    batch += bucket.Take(Urgency::kBatch, now_ms).granted ? 1 : 0;
    urgent += bucket.Take(Urgency::kUrgent, now_ms).granted ? 1 : 0;
  }
  cr_assert(urgent >= 70 && batch <= 3, "%d urgent, %d batch", urgent, batch);
}

Test(other_requests, get_what_urgent_ones_leave) {
  PermitBucket bucket(4.0, 0);
  int urgent = 0;
  int batch = 0;
  for (std::int64_t now_ms = 0; now_ms < 20'000; now_ms += 50) {
    batch += bucket.Take(Urgency::kBatch, now_ms).granted ? 1 : 0;
    if (now_ms % 1'000 == 0) {
      urgent += bucket.Take(Urgency::kUrgent, now_ms).granted ? 1 : 0;
    }
  }
  cr_assert(urgent >= 19 && batch >= 50, "%d urgent, %d batch", urgent, batch);
}

Test(a_refused_caller, is_told_to_return_behind_those_before_it) {
  PermitBucket bucket(2.0, 0);
  const PermitDecision first = bucket.Take(Urgency::kNormal, 0);
  const PermitDecision second = bucket.Take(Urgency::kNormal, 0);
  const PermitDecision urgent = bucket.Take(Urgency::kUrgent, 0);
  cr_assert(!first.granted && first.retry_after_ms == 500);
  cr_assert(!second.granted && second.retry_after_ms == 1'000);
  cr_assert(!urgent.granted && urgent.retry_after_ms == 500,
            "callers that are less urgent are not in front of it");
  cr_assert(bucket.Take(Urgency::kUrgent, 500).granted);
}

Test(a_refused_caller, is_told_a_bounded_time) {
  PermitBucket bucket(0.1, 0);
  for (int n = 0; n < 100; ++n) {
    const std::int64_t retry_ms =
        bucket.Take(Urgency::kNormal, 0).retry_after_ms;
    cr_assert(retry_ms > 0 && retry_ms <= kMaxPermitRetryMs);
  }
}

}  // namespace
}  // namespace meadowthread
