#include <criterion/criterion.h>

#include "placement/ownership_mover.h"
#include "placement/tests/controller_fixture.h"

namespace meadowthread {
namespace {

/// A host "three" of a second deployment besides those of the testbed. The two
/// deployments need different models on the same engines.
struct TwoDeployments {
  TwoDeployments() {
    this->testbed.source.needed = {{{"ours", "", "1"}}};
    this->other_source.needed = {{{"theirs", "", "1"}}};
    this->other_source.hosts = {"three"};
    OwnershipMoveRequest request;
    request.id = {OwnedKind::kEngine, "e0"};
    request.next_owner = "norte";
    OwnershipMoverSettings settings;
    settings.default_owner = "lukot";
    this->mover = std::make_unique<OwnershipMover>(request, settings,
                                                   this->testbed.store);
  }

  void Run(std::int64_t ms, bool moving) {
    for (std::int64_t passed = 0; passed < ms; passed += kTickMs) {
      if (moving) {
        this->mover->Tick();
      }
      this->testbed.one.ReadOwnership();
      this->three.ReadOwnership();
      this->testbed.Run(kTickMs, {&this->testbed.one, &this->three});
      this->other_source.listed = this->testbed.source.listed;
    }
  }

  std::string ModelOf(const std::string& engine) {
    const DesiredState& state = this->testbed.fleet.engines[engine].state;
    return state.models.empty() ? "" : state.models[0].model;
  }

  PlacementTestbed testbed{3};
  FakePlacementSource other_source;
  PlacementTestHost three{"three",       "norte",       testbed.store,
                          testbed.fleet, testbed.clock, other_source};
  std::unique_ptr<OwnershipMover> mover;
};

Test(two_deployments, order_only_the_engines_that_they_own) {
  TwoDeployments deployments;
  deployments.Run(60'000, false);
  cr_assert(deployments.three.Holds() && deployments.testbed.one.Holds());
  cr_assert(deployments.three.client.orders_sent == 0);
  cr_assert(deployments.ModelOf("e0") == "ours");
}

Test(two_deployments, move_an_engine_with_a_fence_that_it_accepts) {
  TwoDeployments deployments;
  deployments.Run(60'000, false);
  deployments.Run(120'000, true);
  cr_assert(deployments.mover->Progress().phase == OwnershipMovePhase::kDone);
  cr_assert(deployments.ModelOf("e0") == "theirs");
  cr_assert(deployments.ModelOf("e1") == "ours");
  cr_assert(deployments.testbed.fleet.engines["e0"].refused == 0);
  const int sent_by_first = deployments.testbed.one.client.orders_sent;
  deployments.Run(60'000, false);
  cr_assert(deployments.testbed.one.client.orders_sent == sent_by_first);
}

}  // namespace
}  // namespace meadowthread
