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
constexpr std::int64_t kWaitMs = 15'000 + 3'000 + 500;

Test(a_lease, goes_to_the_first_who_asks) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.Turn();
  second.Turn();
  cr_assert(first.lease.Held() && !second.lease.Held());
  cr_assert(first.lease.Fence() == 1 && second.lease.Fence() == 0);
}

Test(a_lease, is_renewed_and_its_fence_only_grows) {
  MemoryStore store;
  LeaseHost host("first", store);
  host.Turn();
  const std::int64_t before = host.lease.Fence();
  host.clock.Advance(6'000);
  host.Turn();
  host.clock.Advance(12'000);
  cr_assert(host.lease.Held());
  cr_assert(host.lease.Fence() > before && host.lease.IsOwnFence(before));
}

Test(a_lease, ends_by_the_holders_clock_before_anyone_can_take_it) {
  MemoryStore store;
  LeaseHost host("first", store);
  host.Turn();
  host.clock.Advance(kTtlMs - 501);
  cr_assert(host.lease.Held());
  host.clock.Advance(1);
  cr_assert(!host.lease.Held() && host.lease.Fence() == 0);
}

Test(a_lease, counts_from_before_its_write_was_sent) {
  MemoryStore store;
  LeaseHost host("first", store);
  {  // given a write whose answer takes ten seconds
    host.Look();
    store.Settle();
    host.lease.Tick();
    host.clock.Advance(10'000);
    store.Settle();
  }
  cr_assert(host.lease.RemainingMs() == kTtlMs - 500 - 10'000);
}

Test(a_lease, is_waited_out_with_its_order_window) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.Turn();
  second.Turn();
  {  // when the wait is one millisecond short
    second.clock.Advance(kWaitMs - 1);
    second.Turn();
    cr_assert(!second.lease.Held());
  }
  {  // and when it is over
    second.clock.Advance(1);
    second.Turn();
    cr_assert(second.lease.Held());
  }
}

Test(a_lease, renewed_meanwhile_is_waited_out_anew) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.Turn();
  second.Turn();
  first.clock.Advance(6'000);
  first.lease.Tick();
  store.Settle();
  second.clock.Advance(kWaitMs);
  second.lease.Tick();  // its sight is old: the condition refuses the write
  store.Settle();
  cr_assert(!second.lease.Held() && first.lease.Held());
}

Test(a_paused_holder, does_not_hold_when_it_wakes) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.Turn();
  second.Turn();
  const std::int64_t old_fence = first.lease.Fence();
  second.clock.Advance(kWaitMs);
  second.Turn();
  first.clock.Advance(kWaitMs);
  cr_assert(second.lease.Fence() > old_fence);
  cr_assert(!first.lease.Held() && first.lease.Fence() == 0);
  first.lease.Tick();
  store.Settle();
  cr_assert(!first.lease.Held() && second.lease.Held());
}

Test(a_paused_holder, notices_a_monotonic_clock_that_stood_still) {
  class StoppedClock final : public Clock {
   public:
    std::int64_t MonotonicMs() const override { return 5'000; }
    std::int64_t WallMs() const override { return this->wall_ms; }
    std::int64_t wall_ms = 1'000'000;
  };
  MemoryStore store;
  StoppedClock clock;
  CountingNonces nonces("n");
  Lease lease("d", LeaseHost::Named("h"), store, clock, nonces);
  lease.ObserveAbsent();
  lease.Tick();
  store.Settle();
  cr_assert(lease.Held());
  clock.wall_ms += kTtlMs;
  cr_assert(!lease.Held());
}

Test(a_stale_listing, does_not_end_a_hold) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.Turn();
  StoredObject old;
  store.Get(kLeaseKind, "placement.a.0",
            [&old](const auto& object) { old = *object; });
  store.Settle();
  second.Turn();
  second.clock.Advance(kWaitMs);
  second.Turn();
  second.lease.Observe(old);
  cr_assert(second.lease.Held());
}

Test(a_lost_answer, to_an_acquisition_is_settled_by_reading_back) {
  MemoryStore store;
  LeaseHost host("first", store);
  store.FailWrites({WriteFault::kAnswerLost});
  host.Turn();
  cr_assert(host.lease.Held() && host.lease.Fence() == 1);
}

Test(a_lost_answer, to_a_write_that_never_arrived_leads_to_another) {
  MemoryStore store;
  LeaseHost host("first", store);
  store.FailWrites({WriteFault::kRequestLost});
  host.Turn();
  cr_assert(!host.lease.Held());
  host.Turn();
  cr_assert(host.lease.Held());
}

Test(a_lost_answer, to_a_renewal_extends_only_what_took_effect) {
  MemoryStore store;
  LeaseHost host("first", store);
  host.Turn();
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

Test(a_delayed_write, that_acquires_late_is_known_as_ones_own) {
  MemoryStore store;
  LeaseHost host("first", store);
  store.FailWrites({WriteFault::kDelayed});
  host.Turn();
  store.ReleaseDelayed();
  host.lease.Tick();  // conflicts with the delayed write, and reads it back
  store.Settle();
  cr_assert(host.lease.Held() && host.lease.Fence() == 1);
}

Test(a_delayed_write, that_renews_lands_after_anothers_acquisition) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.Turn();
  second.Turn();
  {  // given a renewal that is on its way while the holder sleeps
    first.clock.Advance(5'000);
    store.FailWrites({WriteFault::kDelayed});
    first.lease.Tick();
    store.Settle();
  }
  {  // when another has taken over before it lands
    second.clock.Advance(kWaitMs);
    second.Turn();
    first.clock.Advance(kWaitMs);
    store.ReleaseDelayed();
  }
  first.Turn();
  cr_assert(second.lease.Held() && !first.lease.Held());
}

Test(a_delayed_write, that_renews_before_anothers_attempt_holds_it_off) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.Turn();
  second.Turn();
  store.FailWrites({WriteFault::kDelayed});
  first.clock.Advance(5'000);
  first.lease.Tick();
  store.Settle();
  second.clock.Advance(kWaitMs);
  store.ReleaseDelayed();
  second.lease.Tick();
  store.Settle();
  cr_assert(!second.lease.Held());
}

Test(a_released_lease, is_taken_after_the_order_window_alone) {
  MemoryStore store;
  LeaseHost first("first", store);
  LeaseHost second("second", store);
  first.Turn();
  first.lease.Release();
  cr_assert(!first.lease.Held());
  second.Turn();
  second.clock.Advance(3'499);
  second.Turn();
  cr_assert(!second.lease.Held());
  second.clock.Advance(1);
  second.Turn();
  cr_assert(second.lease.Held());
}

Test(a_lease_document, that_cannot_be_read_is_waited_out_longest) {
  MemoryStore store;
  LeaseHost host("first", store);
  store.Put(kLeaseKind, "placement.a.0", "{\"holder\":3}", 0, [](auto&&) {});
  host.Turn();
  host.clock.Advance(2 * kLongestLeaseMs);
  host.Turn();
  cr_assert(!host.lease.Held());
  host.clock.Advance(500);
  host.Turn();
  cr_assert(host.lease.Held());
}

Test(a_lease_document, names_the_field_at_fault) {
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

namespace racing {

// What must hold whatever happens: two never hold at once, and a fence that is
// shown later is never lower than one shown before.
struct Watchdog {
  bool Allows(std::span<LeaseHost* const> hosts) {
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

// A random step of one host: sleeps, faults, answers out of turn.
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
      host.Look();
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

}  // namespace racing

Test(racing_holders, never_hold_at_once_over_many_seeds) {
  int held = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    MemoryStore store;
    LeaseHost one("one", store);
    LeaseHost two("two", store);
    LeaseHost three("three", store);
    const std::vector<LeaseHost*> hosts = {&one, &two, &three};
    racing::Watchdog watchdog;
    for (int step = 0; step < 2'000; ++step) {
      racing::RandomStep(random, store, *hosts[random() % 3]);
      // Time passes for all at rates that differ by up to a hundredth.
      const std::int64_t pass_ms = random() % 50 == 0 ? 20'000 : 200;
      for (LeaseHost* host : hosts) {
        host->clock.Advance(pass_ms + static_cast<std::int64_t>(random() % 3));
      }
      cr_assert(watchdog.Allows(hosts), "seed %u", seed);
    }
    held += watchdog.held;
  }
  cr_assert(held > 10'000);
}

}  // namespace
}  // namespace meadowthread
