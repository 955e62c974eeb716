#include "placement/ownership_mover.h"

#include <criterion/criterion.h>

#include <memory>
#include <random>
#include <vector>

#include "base/error.h"
#include "placement/drain_tracker.h"
#include "placement/ownership_view.h"
#include "store/memory_store.h"

namespace meadowthread {
namespace {

const OwnedId kWorkspaceA{OwnedKind::kWorkspace, "a"};

/// The parts of an entry host that take part in a change of ownership.
struct Host {
  Host(std::string_view name, std::string_view deployment, MemoryStore& store)
      : name(name),
        store(store),
        clock(1'000),
        view(Settings(deployment), clock),
        tracker(view) {}

  static OwnershipSettings Settings(std::string_view deployment) {
    OwnershipSettings settings;
    settings.deployment = std::string(deployment);
    settings.default_owner = "lukot";
    return settings;
  }

  /// Lists the ownership objects; `store` delivers the answer later.
  void ListOwnership() {
    const std::int64_t asked_ms = this->clock.MonotonicMs();
    this->store.List(kOwnershipKind, 0,
                     [this, asked_ms](const absl::StatusOr<ObjectList>& list) {
                       if (!list.ok()) {
                         return;
                       }
                       for (const StoredObject& object : list->items) {
                         this->view.Apply(object);
                       }
                       this->view.ConfirmReadSince(asked_ms);
                     });
  }

  /// Writes the status object; `store` delivers the answer later.
  void WriteStatus() {
    const std::string text =
        "{\"ownership\":" + EncodeDrainReport(this->tracker.Report()) + "}";
    this->store.Put("status", this->name, text, this->status_version,
                    [this](const absl::StatusOr<std::int64_t>& version) {
                      if (version.ok()) {
                        this->status_version = *version;
                        this->view.SetRegistered();
                      } else {
                        this->ReadStatusVersion();
                      }
                    });
  }

  void ReadStatusVersion() {
    this->store.Get("status", this->name,
                    [this](const absl::StatusOr<StoredObject>& status) {
                      this->status_version = status.ok() ? status->version : 0;
                    });
  }

  void RunRound() {
    this->WriteStatus();
    this->store.Settle();
    this->clock.Advance(1);
    this->ListOwnership();
    this->store.Settle();
    this->WriteStatus();
    this->store.Settle();
  }

  std::string name;
  MemoryStore& store;
  ManualClock clock;
  OwnershipView view;
  DrainTracker tracker;
  std::int64_t status_version = 0;
};

OwnershipMoveRequest MoveToNorte() {
  OwnershipMoveRequest request;
  request.id = kWorkspaceA;
  request.next_owner = "norte";
  request.next_address = "https://norte";
  request.operation = "op-1";
  return request;
}

OwnershipMoverSettings DefaultOwnerLukot() {
  OwnershipMoverSettings settings;
  settings.default_owner = "lukot";
  return settings;
}

struct Fixture {
  Fixture() { this->Restart(); }
  void Restart() {
    this->mover = std::make_unique<OwnershipMover>(
        MoveToNorte(), DefaultOwnerLukot(), this->store);
  }
  void Tick() {
    this->mover->Tick();
    this->store.Settle();
  }
  OwnershipMovePhase Phase() const { return this->mover->Progress().phase; }

  MemoryStore store;
  Host old_host{"old", "lukot", store};
  Host new_host{"new", "norte", store};
  std::unique_ptr<OwnershipMover> mover;
};

Test(a_move, waits_for_work_in_flight_and_then_raises_the_epoch) {
  Fixture fixture;
  fixture.old_host.RunRound();
  cr_assert(fixture.old_host.tracker.Begin(kWorkspaceA).ok());
  fixture.Tick();  // marks the object as draining
  fixture.old_host.RunRound();
  cr_assert(!fixture.old_host.tracker.Begin(kWorkspaceA).ok());
  fixture.Tick();
  cr_assert(fixture.mover->Progress().waiting_for ==
            std::vector<std::string>{"old"});
  fixture.old_host.tracker.End(kWorkspaceA);
  fixture.old_host.RunRound();
  fixture.Tick();
  fixture.Tick();
  cr_assert(fixture.Phase() == OwnershipMovePhase::kDone);
  cr_assert(fixture.mover->Progress().epoch == 2);
  fixture.new_host.RunRound();
  cr_assert(fixture.new_host.tracker.Begin(kWorkspaceA).ok());
}

Test(a_move, waits_for_a_host_that_has_not_seen_the_mark) {
  Fixture fixture;
  fixture.old_host.RunRound();
  fixture.Tick();
  for (int turn = 0; turn < 100; ++turn) {
    fixture.old_host.clock.Advance(3'600'000);
    fixture.Tick();
  }
  cr_assert(fixture.Phase() == OwnershipMovePhase::kDraining);
  cr_assert(fixture.old_host.tracker.Begin(kWorkspaceA).ok());
}

Test(a_move, is_seen_by_a_host_that_registers_after_the_listing) {
  Fixture fixture;
  fixture.old_host.ListOwnership();  // before the object is marked
  fixture.store.Settle();
  fixture.Tick();
  fixture.Tick();  // finds no host to wait for, and changes the owner
  fixture.old_host.WriteStatus();
  fixture.store.Settle();
  cr_assert(!fixture.old_host.tracker.Begin(kWorkspaceA).ok());
  fixture.old_host.RunRound();
  cr_assert(!fixture.old_host.tracker.Begin(kWorkspaceA).ok());
}

Test(a_move, ignores_confirmations_of_an_earlier_drain) {
  Fixture fixture;
  fixture.Tick();               // marks the object as draining
  fixture.old_host.RunRound();  // confirms the first drain
  {  // when the move is cancelled, work starts, and the move starts again
    OwnershipDocument cancelled;
    cancelled.owner = "lukot";
    fixture.store.Put(kOwnershipKind, "workspace.a", EncodeOwnership(cancelled),
                      1, [](auto&&) {});
    fixture.old_host.ListOwnership();
    fixture.store.Settle();
    cr_assert(fixture.old_host.tracker.Begin(kWorkspaceA).ok());
  }
  fixture.Restart();
  fixture.Tick();  // marks the object as draining
  fixture.Tick();
  fixture.Tick();
  cr_assert(fixture.Phase() == OwnershipMovePhase::kDraining);
}

Test(a_move, waits_for_a_host_whose_status_lacks_ownership) {
  Fixture fixture;
  fixture.store.Put("status", "old", "{}", 0, [](auto&&) {});
  fixture.Tick();  // marks the object as draining
  fixture.Tick();
  cr_assert(fixture.mover->Progress().waiting_for.size() == 1);
  OwnershipMoveRequest with_dead_host = MoveToNorte();
  with_dead_host.dead_hosts = {"old"};
  OwnershipMover mover(with_dead_host, DefaultOwnerLukot(), fixture.store);
  for (int turn = 0; turn < 3; ++turn) {
    mover.Tick();
    fixture.store.Settle();
  }
  cr_assert(mover.Progress().phase == OwnershipMovePhase::kDone);
}

Test(a_move, conflicts_with_a_move_to_another_deployment) {
  Fixture fixture;
  fixture.Tick();
  OwnershipMoveRequest other = MoveToNorte();
  other.next_owner = "third";
  OwnershipMover mover(other, DefaultOwnerLukot(), fixture.store);
  mover.Tick();
  fixture.store.Settle();
  cr_assert(mover.Progress().phase == OwnershipMovePhase::kConflict);
  cr_assert(DetailOf(mover.Progress().last_error).id ==
            ErrorId::kStoreConflict);
}

Test(a_mover, can_be_replaced_after_a_crash_at_any_step) {
  for (int crash_at = 0; crash_at < 12; ++crash_at) {
    Fixture fixture;
    fixture.old_host.RunRound();
    for (int turn = 0;
         turn < 40 && fixture.Phase() != OwnershipMovePhase::kDone; ++turn) {
      fixture.store.FailWrites(
          {turn % 3 == 1 ? WriteFault::kAnswerLost : WriteFault::kNone});
      fixture.mover->Tick();
      if (turn == crash_at) {
        fixture.store.Step();
        fixture.Restart();  // the call that was sent still takes effect
      }
      fixture.store.Settle();
      fixture.old_host.RunRound();
      fixture.old_host.clock.Advance(1'000);
    }
    cr_assert(fixture.Phase() == OwnershipMovePhase::kDone);
    cr_assert(fixture.mover->Progress().epoch == 2);
  }
}

namespace random_moves {

/// Two hosts of each deployment and a mover, which take steps in random order.
struct Simulation {
  explicit Simulation(unsigned seed) : random(seed) {
    for (int index = 0; index < 4; ++index) {
      this->hosts.push_back(std::make_unique<Host>(
          "h" + std::to_string(index), index % 2 == 0 ? "lukot" : "norte",
          this->store));
    }
    this->in_flight.assign(4, 0);
    this->Restart();
  }

  void Restart() {
    this->mover = std::make_unique<OwnershipMover>(
        MoveToNorte(), DefaultOwnerLukot(), this->store);
  }

  void StepHost() {
    const std::size_t index = this->random() % 4;
    Host& host = *this->hosts[index];
    switch (this->random() % 4) {
      case 0:
        host.ListOwnership();
        break;
      case 1:
        host.WriteStatus();
        break;
      case 2:
        if (host.tracker.Begin(kWorkspaceA).ok()) {
          ++this->in_flight[index];
          ++this->started[index % 2];
        }
        break;
      default:
        if (this->in_flight[index] > 0) {
          --this->in_flight[index];
          host.tracker.End(kWorkspaceA);
        }
    }
  }

  void StepMover() {
    constexpr WriteFault kFaults[] = {WriteFault::kNone, WriteFault::kDelayed,
                                      WriteFault::kAnswerLost,
                                      WriteFault::kRequestLost};
    if (this->random() % 20 == 0) {
      this->Restart();
    }
    if (this->random() % 5 == 0) {
      this->store.ReleaseDelayed();
      this->store.FailWrites({kFaults[this->random() % 4]});
    }
    this->mover->Tick();
  }

  void Step() {
    const bool moving = ++this->steps > 300;
    moving&& this->random() % 4 == 0 ? this->StepMover() : this->StepHost();
    while (this->random() % 3 != 0) {
      this->store.Step();
    }
    // The clocks of all hosts advance although only one of them runs in a step.
    // A host that is not chosen for several steps thus appears to be paused.
    const auto pass_ms = static_cast<std::int64_t>(this->random() % 300);
    for (const auto& host : this->hosts) {
      host->clock.Advance(pass_ms);
    }
  }

  /// Whether both deployments have work of the workspace in flight.
  bool Overlap() const {
    return this->in_flight[0] + this->in_flight[2] > 0 &&
           this->in_flight[1] + this->in_flight[3] > 0;
  }

  std::mt19937 random;
  MemoryStore store;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<int> in_flight;
  int started[2] = {0, 0};
  int steps = 0;
  std::unique_ptr<OwnershipMover> mover;
};

}  // namespace random_moves

Test(two_deployments, never_have_work_of_one_workspace_in_flight_at_once) {
  int by_old = 0;
  int by_new = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    random_moves::Simulation simulation(seed);
    for (int step = 0; step < 1'500; ++step) {
      simulation.Step();
      cr_assert(!simulation.Overlap());
    }
    by_old += simulation.started[0];
    by_new += simulation.started[1];
  }
  cr_assert(by_old > 300 && by_new > 300, "%d %d", by_old, by_new);
}

}  // namespace
}  // namespace meadowthread
