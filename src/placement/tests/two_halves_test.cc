#include <criterion/criterion.h>

#include "placement/ownership_mover.h"
#include "placement/tests/controller_fixture.h"

namespace meadowthread {
namespace {

/// A host of the other half beside two of ours; the halves need different
/// models on the same engines.
struct TwoHalves {
  TwoHalves() {
    this->scene.source.needed = {{{"ours", "", "1"}}};
    this->other_source.needed = {{{"theirs", "", "1"}}};
    this->other_source.hosts = {"three"};
    MoveRequest request;
    request.id = {OwnedKind::kEngine, "e0"};
    request.next_owner = "norte";
    MoverSettings settings;
    settings.default_owner = "lukot";
    this->mover =
        std::make_unique<OwnershipMover>(request, settings, this->scene.store);
  }

  void Run(std::int64_t ms, bool moving) {
    for (std::int64_t passed = 0; passed < ms; passed += kTickMs) {
      if (moving) {
        this->mover->Tick();
      }
      this->scene.one.LookAtOwnership();
      this->three.LookAtOwnership();
      this->scene.Run(kTickMs, {&this->scene.one, &this->three});
      this->other_source.listed = this->scene.source.listed;
    }
  }

  std::string ModelOf(const std::string& engine) {
    const DesiredState& state = this->scene.fleet.engines[engine].state;
    return state.models.empty() ? "" : state.models[0].model;
  }

  PlacementScene scene{3};
  FakeSource other_source;
  PlacementHost three{"three",     "norte",     scene.store,
                      scene.fleet, scene.clock, other_source};
  std::unique_ptr<OwnershipMover> mover;
};

Test(two_halves, order_only_the_engines_that_they_own) {
  TwoHalves halves;
  halves.Run(60'000, false);
  cr_assert(halves.three.Holds() && halves.scene.one.Holds());
  cr_assert(halves.three.client.orders_sent == 0);
  cr_assert(halves.ModelOf("e0") == "ours");
}

Test(two_halves, hand_an_engine_over_with_a_fence_that_it_accepts) {
  TwoHalves halves;
  halves.Run(60'000, false);
  halves.Run(120'000, true);
  cr_assert(halves.mover->Progress().phase == MovePhase::kDone);
  cr_assert(halves.ModelOf("e0") == "theirs");
  cr_assert(halves.ModelOf("e1") == "ours");
  cr_assert(halves.scene.fleet.engines["e0"].refused == 0);
  const int sent_by_us = halves.scene.one.client.orders_sent;
  halves.Run(60'000, false);
  cr_assert(halves.scene.one.client.orders_sent == sent_by_us);
}

}  // namespace
}  // namespace meadowthread
