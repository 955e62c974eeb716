#include "placement/lease.h"

#include <criterion/criterion.h>

#include <random>
#include <span>
#include <vector>

#include "base/error.h"
#include "placement/tests/lease_fixture.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kTtlMs = 15'000;
// Lifetime, order window and drift margin of the default settings.
constexpr std::int64_t kTakeoverWaitMs = 15'000 + 3'000 + 500;

Test(a_lease, is_acquired_by_the_first_host_that_asks) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.RunRound();
  second.RunRound();
  cr_assert(first.lease.Held() && !second.lease.Held());
  cr_assert(first.lease.Fence() == 1 && second.lease.Fence() == 0);
}

Test(a_lease, is_renewed_with_a_higher_fence) {
  MemoryStore store;
  LeaseHost host("first", store);
  host.RunRound();
  const std::int64_t before = host.lease.Fence();
  host.clock.Advance(6'000);
  host.RunRound();
  host.clock.Advance(12'000);
  cr_assert(host.lease.Held());
  cr_assert(host.lease.Fence() > before && host.lease.IsOwnFence(before));
}

Test(a_lease, expires_by_the_holders_clock_before_anyone_can_take_over) {
  MemoryStore store;
  LeaseHost host("first", store);
  host.RunRound();
  host.clock.Advance(kTtlMs - 501);
  cr_assert(host.lease.Held());
  host.clock.Advance(1);
  cr_assert(!host.lease.Held() && host.lease.Fence() == 0);
}

Test(a_lease, counts_from_before_its_write_was_sent) {
  MemoryStore store;
  LeaseHost host("first", store);
  {  // given a write whose answer takes ten seconds
    host.ListLeases();
    store.Settle();
    host.lease.Tick();
    host.clock.Advance(10'000);
    store.Settle();
  }
  cr_assert(host.lease.RemainingMs() == kTtlMs - 500 - 10'000);
}

Test(a_lease, is_taken_over_after_its_lifetime_and_order_window) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.RunRound();
  second.RunRound();
  {  // when the wait is one millisecond short
    second.clock.Advance(kTakeoverWaitMs - 1);
    second.RunRound();
    cr_assert(!second.lease.Held());
  }
  {  // and when the wait is over
    second.clock.Advance(1);
    second.RunRound();
    cr_assert(second.lease.Held());
  }
}

Test(a_lease, renewed_in_between_restarts_the_wait) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.RunRound();
  second.RunRound();
  first.clock.Advance(6'000);
  first.lease.Tick();
  store.Settle();
  second.clock.Advance(kTakeoverWaitMs);
  second.lease.Tick();  // has not seen the renewal, so its write conflicts
  store.Settle();
  cr_assert(!second.lease.Held() && first.lease.Held());
}

Test(a_paused_holder, no_longer_holds_when_it_resumes) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.RunRound();
  second.RunRound();
  const std::int64_t old_fence = first.lease.Fence();
  second.clock.Advance(kTakeoverWaitMs);
  second.RunRound();
  first.clock.Advance(kTakeoverWaitMs);
  cr_assert(second.lease.Fence() > old_fence);
  cr_assert(!first.lease.Held() && first.lease.Fence() == 0);
  first.lease.Tick();
  store.Settle();
  cr_assert(!first.lease.Held() && second.lease.Held());
}

Test(a_paused_holder, notices_that_the_monotonic_clock_stopped) {
  class StoppedClock final : public Clock {
   public:
    std::int64_t MonotonicMs() const override { return 5'000; }
    std::int64_t WallMs() const override { return this->wall_ms; }
    std::int64_t wall_ms = 1'000'000;
  };
  MemoryStore store;
  StoppedClock clock;
  SequentialNonceSource nonces("n");
  Lease lease("d", LeaseHost::SettingsFor("h"), store, clock, nonces);
  lease.ObserveAbsent();
  lease.Tick();
  store.Settle();
  cr_assert(lease.Held());
  clock.wall_ms += kTtlMs;
  cr_assert(!lease.Held());
}

Test(a_stale_listing, does_not_end_a_held_lease) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.RunRound();
  StoredObject old;
  store.Get(kLeaseKind, "placement.a.0",
            [&old](const auto& object) { old = *object; });
  store.Settle();
  second.RunRound();
  second.clock.Advance(kTakeoverWaitMs);
  second.RunRound();
  second.lease.Observe(old);
  cr_assert(second.lease.Held());
}

Test(a_lost_answer, to_an_acquisition_is_resolved_by_reading_back) {
  MemoryStore store;
  LeaseHost host("first", store);
  store.FailWrites({WriteFault::kAnswerLost});
  host.RunRound();
  cr_assert(host.lease.Held() && host.lease.Fence() == 1);
}

Test(a_lost_answer, to_a_write_that_never_arrived_leads_to_a_retry) {
  MemoryStore store;
  LeaseHost host("first", store);
  store.FailWrites({WriteFault::kRequestLost});
  host.RunRound();
  cr_assert(!host.lease.Held());
  host.RunRound();
  cr_assert(host.lease.Held());
}

Test(a_lost_answer, to_a_renewal_extends_the_lease_only_if_it_took_effect) {
  MemoryStore store;
  LeaseHost host("first", store);
  host.RunRound();
  host.clock.Advance(5'000);
  store.FailWrites({WriteFault::kRequestLost});
  host.lease.Tick();
  store.Settle();
  cr_assert(host.lease.RemainingMs() == kTtlMs - 500 - 5'000);
  store.FailWrites({WriteFault::kAnswerLost});
  host.clock.Advance(5'000);
  host.lease.Tick();
  store.Settle();
  cr_assert(host.lease.RemainingMs() == kTtlMs - 500);
}

Test(a_delayed_write, that_acquires_late_is_recognized) {
  MemoryStore store;
  LeaseHost host("first", store);
  store.FailWrites({WriteFault::kDelayed});
  host.RunRound();
  store.ReleaseDelayed();
  host.lease.Tick();  // conflicts with the delayed write, and reads back
  store.Settle();
  cr_assert(host.lease.Held() && host.lease.Fence() == 1);
}

Test(a_delayed_write, that_renews_after_a_takeover_has_no_effect) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.RunRound();
  second.RunRound();
  {  // given a renewal that is delayed while its holder is paused
    first.clock.Advance(5'000);
    store.FailWrites({WriteFault::kDelayed});
    first.lease.Tick();
    store.Settle();
  }
  {  // when another host takes over before the renewal arrives
    second.clock.Advance(kTakeoverWaitMs);
    second.RunRound();
    first.clock.Advance(kTakeoverWaitMs);
    store.ReleaseDelayed();
  }
  first.RunRound();
  cr_assert(second.lease.Held() && !first.lease.Held());
}

Test(a_delayed_write, that_renews_before_a_takeover_prevents_it) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.RunRound();
  second.RunRound();
  store.FailWrites({WriteFault::kDelayed});
  first.clock.Advance(5'000);
  first.lease.Tick();
  store.Settle();
  second.clock.Advance(kTakeoverWaitMs);
  store.ReleaseDelayed();
  second.lease.Tick();
  store.Settle();
  cr_assert(!second.lease.Held());
}

Test(a_released_lease, is_taken_over_after_the_order_window_only) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.RunRound();
  first.lease.Release();
  cr_assert(!first.lease.Held());
  second.RunRound();
  second.clock.Advance(3'499);
  second.RunRound();
  cr_assert(!second.lease.Held());
  second.clock.Advance(1);
  second.RunRound();
  cr_assert(second.lease.Held());
}

Test(a_lease_document, that_is_invalid_delays_the_takeover_longest) {
  MemoryStore store;
  LeaseHost host("first", store);
  store.Put(kLeaseKind, "placement.a.0", "{\"holder\":3}", 0, [](auto&&) {});
  host.RunRound();
  host.clock.Advance(2 * kMaxLeaseMs);
  host.RunRound();
  cr_assert(!host.lease.Held());
  host.clock.Advance(500);
  host.RunRound();
  cr_assert(host.lease.Held());
}

Test(a_lease_document, reports_the_invalid_field) {
  const auto field_of = [](std::string_view text) {
    return DetailOf(ParseLease(text).status()).field;
  };
  LeaseDocument good;
  good.tenure = "n";
  cr_assert(*ParseLease(EncodeLease(good)) == good);
  cr_assert(field_of(R"({"incarnation":"1"})") == "holder");
  cr_assert(field_of(R"({"holder":"h","incarnation":"1","nonce":"x"})") ==
            "nonce");
  cr_assert(field_of(R"({"holder":"h","incarnation":"1","nonce":"x.0",)"
                     R"("ttl_ms":60001})") == "ttl_ms");
}

namespace random_schedule {

// Checks that at most one host holds the lease at a time, and that the fencing
// token never decreases.
struct LeaseInvariants {
  bool Hold(std::span<LeaseHost* const> hosts) {
    int holders = 0;
    bool grows = true;
    for (LeaseHost* host : hosts) {
      if (!host->lease.Held()) {
        continue;
      }
      ++holders;
      grows = grows && host->lease.Fence() >= this->highest;
      this->highest = host->lease.Fence();
    }
    this->held += holders;
    return grows && holders <= 1;
  }
  std::int64_t highest = 0;
  int held = 0;
};

// One random step of a host: a tick, a listing, a release, a write fault, or
// the delivery of an answer or of the delayed writes.
void RandomStep(std::mt19937& random, MemoryStore& store, LeaseHost& host) {
  constexpr WriteFault kFaults[] = {WriteFault::kNone, WriteFault::kAnswerLost,
                                    WriteFault::kRequestLost,
                                    WriteFault::kDelayed};
  switch (random() % 8) {
    case 0:
      store.FailWrites({kFaults[random() % 4]});
      break;
    case 1:
      store.ReleaseDelayed();
      break;
    case 2:
      host.ListLeases();
      break;
    case 3:
      if (random() % 20 == 0) {
        host.lease.Release();
      }
      break;
    case 4:
      store.Step();
      break;
    default:
      host.lease.Tick();
      store.Step();
  }
}

}  // namespace random_schedule

Test(random_schedules, never_give_the_lease_to_two_hosts_at_once) {
  int held = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    MemoryStore store;
    LeaseHost one("one", store);
    LeaseHost two("two", store);
    LeaseHost three("three", store);
    const std::vector<LeaseHost*> hosts = {&one, &two, &three};
    random_schedule::LeaseInvariants invariants;
    for (int step = 0; step < 2'000; ++step) {
      random_schedule::RandomStep(random, store, *hosts[random() % 3]);
      // The clocks of the hosts advance at rates that differ by up to 1 %.
      const std::int64_t pass_ms = random() % 50 == 0 ? 20'000 : 200;
      for (LeaseHost* host : hosts) {
        host->clock.Advance(pass_ms + static_cast<std::int64_t>(random() % 3));
      }
      cr_assert(invariants.Hold(hosts), "seed %u", seed);
    }
    held += invariants.held;
  }
  cr_assert(held > 10'000);
}

}  // namespace
}  // namespace meadowthread
