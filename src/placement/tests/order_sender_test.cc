#include "placement/order_sender.h"

#include <criterion/criterion.h>

#include "base/error.h"
#include "placement/tests/fake_engine_client.h"
#include "placement/tests/lease_fixture.h"

namespace meadowthread {
namespace {

/// A host that holds the lease, and an engine "e" that its deployment owns.
struct Fixture {
  Fixture() {
    this->host.RunRound();
    this->view.SetRegistered();
    this->view.ConfirmReadSince(this->host.clock.MonotonicMs() + 1);
    this->order.engine = "e";
    this->order.base_url = "http://e";
    this->order.desired = {"mixed", {{"m", "", "1"}}};
    this->order.reason = "test";
  }

  static OwnershipSettings Settings() {
    OwnershipSettings settings;
    settings.deployment = "lukot";
    settings.default_owner = "lukot";
    return settings;
  }

  void Send() {
    this->result.reset();
    this->sender.Send(this->order,
                      [this](const OrderResult& got) { this->result = got; });
  }

  OrderOutcome SendAndDeliver() {
    this->Send();
    this->client.DeliverAll();
    return this->result->outcome;
  }

  FakePlacementEngine& Engine() { return this->fleet.engines["e"]; }

  void Advance(std::int64_t ms) { this->host.clock.Advance(ms); }

  MemoryStore store;
  LeaseHost host{"first", store};
  OwnershipView view{Settings(), host.clock};
  FakeEngineFleet fleet;
  FakeEngineClient client{fleet, host.clock};
  OrderSender sender{client, host.lease, view, host.clock};
  EngineOrder order;
  std::optional<OrderResult> result;
};

Test(an_order, is_applied_under_the_leases_fence) {
  Fixture fixture;
  cr_assert(fixture.SendAndDeliver() == OrderOutcome::kApplied);
  cr_assert(fixture.Engine().highest_fence == fixture.host.lease.Fence());
}

Test(an_order, is_not_sent_after_the_lease_expired_during_a_pause) {
  Fixture fixture;
  fixture.Advance(14'500);
  cr_assert(fixture.SendAndDeliver() == OrderOutcome::kNotSent);
  cr_assert(DetailOf(fixture.result->status).id == ErrorId::kLeaseLost);
  cr_assert(fixture.client.orders_sent == 0);
}

Test(an_order, has_a_deadline_no_later_than_the_leases_end) {
  Fixture fixture;
  fixture.Advance(13'500);  // one second of the lease is left
  fixture.Send();
  fixture.Advance(1'001);
  fixture.client.DeliverAll();
  cr_assert(fixture.result->outcome == OrderOutcome::kDeadlinePassed);
}

Test(an_order, with_an_old_fence_is_refused_and_its_holder_steps_down) {
  Fixture fixture;
  fixture.Engine().highest_fence = 99;
  cr_assert(fixture.SendAndDeliver() == OrderOutcome::kStaleFence);
  cr_assert(fixture.result->peer_fence == 99);
  cr_assert(!fixture.host.lease.Held());
}

Test(an_order, refused_for_a_newer_order_of_the_same_holder_is_superseded) {
  Fixture fixture;
  fixture.Send();
  fixture.host.lease.RenewSoon();
  fixture.host.RunRound();
  fixture.Engine().highest_fence = fixture.host.lease.Fence();
  fixture.client.DeliverAll();
  cr_assert(fixture.result->outcome == OrderOutcome::kSuperseded);
  cr_assert(fixture.host.lease.Held());
}

Test(an_order, whose_answer_is_lost_has_an_unknown_outcome) {
  Fixture fixture;
  fixture.client.faults = {OrderFault::kAnswerLost, OrderFault::kSendFailed};
  cr_assert(fixture.SendAndDeliver() == OrderOutcome::kUnknown);
  cr_assert(fixture.SendAndDeliver() == OrderOutcome::kNotSent);
}

Test(an_order, reports_that_the_engine_is_too_busy) {
  Fixture fixture;
  fixture.Engine().throttled = true;
  cr_assert(fixture.SendAndDeliver() == OrderOutcome::kThrottled);
}

Test(an_order, is_sent_only_by_the_owner_of_the_engine) {
  OwnershipDocument document;
  document.owner = "norte";
  Fixture elsewhere;
  elsewhere.view.Apply(
      {"ownership", "engine.e", 1, EncodeOwnership(document), false});
  cr_assert(elsewhere.SendAndDeliver() == OrderOutcome::kNotSent);
  Fixture draining;
  document.owner = "lukot";
  document.state = OwnershipState::kDraining;
  document.next_owner = "norte";
  draining.view.Apply(
      {"ownership", "engine.e", 1, EncodeOwnership(document), false});
  cr_assert(draining.SendAndDeliver() == OrderOutcome::kNotSent);
  Fixture unregistered;
  unregistered.view.SetUnregistered();
  cr_assert(unregistered.SendAndDeliver() == OrderOutcome::kNotSent);
}

Test(an_order, needs_a_fence_newer_than_the_engines_change_of_owner) {
  Fixture fixture;
  OwnershipDocument document;
  document.owner = "lukot";
  fixture.store.Put(kOwnershipKind, "engine.e", EncodeOwnership(document), 0,
                    [&fixture, &document](const auto& version) {
                      fixture.view.Apply({"ownership", "engine.e", *version,
                                          EncodeOwnership(document), false});
                    });
  fixture.store.Settle();
  cr_assert(fixture.SendAndDeliver() == OrderOutcome::kNotSent);
  fixture.host.RunRound();  // renews before that is due
  cr_assert(fixture.SendAndDeliver() == OrderOutcome::kApplied);
}

}  // namespace
}  // namespace meadowthread
