#include "placement/orderer.h"

#include <criterion/criterion.h>

#include "base/error.h"
#include "placement/tests/fake_engines.h"
#include "placement/tests/lease_fixture.h"

namespace meadowthread {
namespace {

/// A holder with one engine, "e", that it owns by default.
struct Scene {
  Scene() {
    this->host.Turn();
    this->view.SetRegistered();
    this->view.Confirm(this->host.clock.MonotonicMs() + 1);
    this->order.engine = "e";
    this->order.base_url = "http://e";
    this->order.desired = {"mixed", {{"m", "", "1"}}};
    this->order.why = "test";
  }

  static OwnershipSettings Half() {
    OwnershipSettings settings;
    settings.half = "lukot";
    settings.default_owner = "lukot";
    return settings;
  }

  void Send() {
    this->result.reset();
    this->orderer.Send(this->order,
                       [this](const OrderResult& got) { this->result = got; });
  }

  OrderOutcome SendAndSettle() {
    this->Send();
    this->client.Settle();
    return this->result->outcome;
  }

  FakeEngine& Engine() { return this->fleet.engines["e"]; }

  void Pass(std::int64_t ms) { this->host.clock.Advance(ms); }

  MemoryStore store;
  LeaseHost host{"first", store};
  OwnershipView view{Half(), host.clock};
  FakeFleet fleet;
  FakeEngines client{fleet, host.clock};
  Orderer orderer{client, host.lease, view, host.clock};
  EngineOrder order;
  std::optional<OrderResult> result;
};

Test(an_order, is_applied_under_the_leases_fence) {
  Scene scene;
  cr_assert(scene.SendAndSettle() == OrderOutcome::kApplied);
  cr_assert(scene.Engine().highest_fence == scene.host.lease.Fence());
}

Test(an_order, does_not_leave_a_holder_whose_lease_ran_out_while_it_slept) {
  Scene scene;
  scene.Pass(14'500);
  cr_assert(scene.SendAndSettle() == OrderOutcome::kNotSent);
  cr_assert(DetailOf(scene.result->status).id == ErrorId::kLeaseLost);
  cr_assert(scene.client.orders_sent == 0);
}

Test(an_order, ends_with_the_lease_at_the_latest) {
  Scene scene;
  scene.Pass(13'500);  // one second of the lease is left
  scene.Send();
  scene.Pass(1'001);
  scene.client.Settle();
  cr_assert(scene.result->outcome == OrderOutcome::kDeadlinePassed);
}

Test(an_order, with_an_old_fence_is_refused_and_its_holder_steps_down) {
  Scene scene;
  scene.Engine().highest_fence = 99;
  cr_assert(scene.SendAndSettle() == OrderOutcome::kStaleFence);
  cr_assert(scene.result->peer_fence == 99);
  cr_assert(!scene.host.lease.Held());
}

Test(an_order, refused_for_a_newer_one_of_ones_own_is_superseded) {
  Scene scene;
  scene.Send();
  scene.host.lease.RenewSoon();
  scene.host.Turn();
  scene.Engine().highest_fence = scene.host.lease.Fence();
  scene.client.Settle();
  cr_assert(scene.result->outcome == OrderOutcome::kSuperseded);
  cr_assert(scene.host.lease.Held());
}

Test(an_order, whose_answer_is_lost_is_unknown) {
  Scene scene;
  scene.client.faults = {OrderFault::kAnswerLost, OrderFault::kNeverLeft};
  cr_assert(scene.SendAndSettle() == OrderOutcome::kUnknown);
  cr_assert(scene.SendAndSettle() == OrderOutcome::kNotSent);
}

Test(an_order, says_when_the_engine_is_too_busy) {
  Scene scene;
  scene.Engine().throttled = true;
  cr_assert(scene.SendAndSettle() == OrderOutcome::kThrottled);
}

Test(an_order, is_sent_by_the_owner_of_the_engine_alone) {
  OwnershipDocument document;
  document.owner = "norte";
  Scene elsewhere;
  elsewhere.view.Apply(
      {"ownership", "engine.e", 1, EncodeOwnership(document), false});
  cr_assert(elsewhere.SendAndSettle() == OrderOutcome::kNotSent);
  Scene draining;
  document.owner = "lukot";
  document.state = OwnershipState::kDraining;
  document.next_owner = "norte";
  draining.view.Apply(
      {"ownership", "engine.e", 1, EncodeOwnership(document), false});
  cr_assert(draining.SendAndSettle() == OrderOutcome::kNotSent);
  Scene unregistered;
  unregistered.view.SetUnregistered();
  cr_assert(unregistered.SendAndSettle() == OrderOutcome::kNotSent);
}

Test(an_order, waits_for_a_fence_newer_than_the_engines_hand_over) {
  Scene scene;
  OwnershipDocument document;
  document.owner = "lukot";
  scene.store.Put(kOwnershipKind, "engine.e", EncodeOwnership(document), 0,
                  [&scene, &document](const auto& version) {
                    scene.view.Apply({"ownership", "engine.e", *version,
                                      EncodeOwnership(document), false});
                  });
  scene.store.Settle();
  cr_assert(scene.SendAndSettle() == OrderOutcome::kNotSent);
  scene.host.Turn();  // renews out of turn
  cr_assert(scene.SendAndSettle() == OrderOutcome::kApplied);
}

}  // namespace
}  // namespace meadowthread
