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

/// An entry host as far as a hand-over sees it.
struct Host {
  Host(std::string_view with_name, std::string_view half, MemoryStore& over)
      : name(with_name),
        store(over),
        clock(1'000),
        view(Settings(half), clock),
        tracker(view) {}

  static OwnershipSettings Settings(std::string_view half) {
    OwnershipSettings settings;
    settings.half = std::string(half);
    settings.default_owner = "lukot";
    return settings;
  }

  /// Reads the ownership objects; the answer waits in the store.
  void Look() {
    const std::int64_t asked_ms = this->clock.MonotonicMs();
    this->store.List(kOwnershipKind, 0,
                     [this, asked_ms](const absl::StatusOr<ObjectList>& list) {
                       if (!list.ok()) {
                         return;
                       }
                       for (const StoredObject& object : list->items) {
                         this->view.Apply(object);
                       }
                       this->view.Confirm(asked_ms);
                     });
  }

  /// Writes the status object; the answer waits in the store.
  void Tell() {
    const std::string text =
        "{\"ownership\":" + EncodeDrainReport(this->tracker.Report()) + "}";
    this->store.Put("status", this->name, text, this->status_version,
                    [this](const absl::StatusOr<std::int64_t>& version) {
                      if (version.ok()) {
                        this->status_version = *version;
                        this->view.SetRegistered();
                      } else {
                        this->LearnStatusVersion();
                      }
                    });
  }

  void LearnStatusVersion() {
    this->store.Get("status", this->name,
                    [this](const absl::StatusOr<StoredObject>& status) {
                      this->status_version = status.ok() ? status->version : 0;
                    });
  }

  void Turn() {
    this->Tell();
    this->store.Settle();
    this->clock.Advance(1);
    this->Look();
    this->store.Settle();
    this->Tell();
    this->store.Settle();
  }

  std::string name;
  MemoryStore& store;
  ManualClock clock;
  OwnershipView view;
  DrainTracker tracker;
  std::int64_t status_version = 0;
};

MoveRequest ToNorte() {
  MoveRequest request;
  request.id = kWorkspaceA;
  request.next_owner = "norte";
  request.next_address = "https://norte";
  request.operation = "op-1";
  return request;
}

MoverSettings Bounds() {
  MoverSettings settings;
  settings.default_owner = "lukot";
  return settings;
}

struct Scene {
  Scene() { this->Restart(); }
  void Restart() {
    this->mover =
        std::make_unique<OwnershipMover>(ToNorte(), Bounds(), this->store);
  }
  void Tick() {
    this->mover->Tick();
    this->store.Settle();
  }
  MovePhase Phase() const { return this->mover->Progress().phase; }

  MemoryStore store;
  Host old_host{"old", "lukot", store};
  Host new_host{"new", "norte", store};
  std::unique_ptr<OwnershipMover> mover;
};

Test(a_move, waits_for_work_in_flight_and_then_raises_the_epoch) {
  Scene scene;
  scene.old_host.Turn();
  cr_assert(scene.old_host.tracker.Begin(kWorkspaceA).ok());
  scene.Tick();  // marks
  scene.old_host.Turn();
  cr_assert(!scene.old_host.tracker.Begin(kWorkspaceA).ok());
  scene.Tick();
  cr_assert(scene.mover->Progress().waiting_for ==
            std::vector<std::string>{"old"});
  scene.old_host.tracker.End(kWorkspaceA);
  scene.old_host.Turn();
  scene.Tick();
  scene.Tick();
  cr_assert(scene.Phase() == MovePhase::kDone);
  cr_assert(scene.mover->Progress().epoch == 2);
  scene.new_host.Turn();
  cr_assert(scene.new_host.tracker.Begin(kWorkspaceA).ok());
}

Test(a_move, waits_for_a_host_that_has_not_seen_the_mark) {
  Scene scene;
  scene.old_host.Turn();
  scene.Tick();
  for (int turn = 0; turn < 100; ++turn) {
    scene.old_host.clock.Advance(3'600'000);
    scene.Tick();
  }
  cr_assert(scene.Phase() == MovePhase::kDraining);
  cr_assert(scene.old_host.tracker.Begin(kWorkspaceA).ok());
}

Test(a_move, is_seen_by_a_host_that_starts_too_late_to_be_waited_for) {
  Scene scene;
  scene.old_host.Look();  // before the mark
  scene.store.Settle();
  scene.Tick();
  scene.Tick();  // lists, finds no host, and hands over
  scene.old_host.Tell();
  scene.store.Settle();
  cr_assert(!scene.old_host.tracker.Begin(kWorkspaceA).ok());
  scene.old_host.Turn();
  cr_assert(!scene.old_host.tracker.Begin(kWorkspaceA).ok());
}

Test(a_move, takes_no_confirmation_of_an_earlier_drain) {
  Scene scene;
  scene.Tick();           // marks
  scene.old_host.Turn();  // confirms the first drain
  {  // when the move is called off, work starts, and it is begun again
    OwnershipDocument back;
    back.owner = "lukot";
    scene.store.Put(kOwnershipKind, "workspace.a", EncodeOwnership(back), 1,
                    [](auto&&) {});
    scene.old_host.Look();
    scene.store.Settle();
    cr_assert(scene.old_host.tracker.Begin(kWorkspaceA).ok());
  }
  scene.Restart();
  scene.Tick();  // marks
  scene.Tick();
  scene.Tick();
  cr_assert(scene.Phase() == MovePhase::kDraining);
}

Test(a_move, waits_for_a_status_that_says_nothing_of_ownership) {
  Scene scene;
  scene.store.Put("status", "old", "{}", 0, [](auto&&) {});
  scene.Tick();  // marks
  scene.Tick();
  cr_assert(scene.mover->Progress().waiting_for.size() == 1);
  MoveRequest vouched = ToNorte();
  vouched.gone = {"old"};
  OwnershipMover mover(vouched, Bounds(), scene.store);
  for (int turn = 0; turn < 3; ++turn) {
    mover.Tick();
    scene.store.Settle();
  }
  cr_assert(mover.Progress().phase == MovePhase::kDone);
}

Test(a_move, loses_to_one_that_names_another_half) {
  Scene scene;
  scene.Tick();
  MoveRequest other = ToNorte();
  other.next_owner = "third";
  OwnershipMover mover(other, Bounds(), scene.store);
  mover.Tick();
  scene.store.Settle();
  cr_assert(mover.Progress().phase == MovePhase::kConflict);
  cr_assert(DetailOf(mover.Progress().last_error).id ==
            ErrorId::kStoreConflict);
}

Test(a_mover, that_crashes_at_any_step_is_replaced) {
  for (int crash_at = 0; crash_at < 12; ++crash_at) {
    Scene scene;
    scene.old_host.Turn();
    for (int turn = 0; turn < 40 && scene.Phase() != MovePhase::kDone; ++turn) {
      scene.store.FailWrites(
          {turn % 3 == 1 ? WriteFault::kAnswerLost : WriteFault::kNone});
      scene.mover->Tick();
      if (turn == crash_at) {
        scene.store.Step();
        scene.Restart();  // what it had sent stays sent
      }
      scene.store.Settle();
      scene.old_host.Turn();
      scene.old_host.clock.Advance(1'000);
    }
    cr_assert(scene.Phase() == MovePhase::kDone);
    cr_assert(scene.mover->Progress().epoch == 2);
  }
}

namespace both_halves {

struct Fleet {
  explicit Fleet(unsigned seed) : random(seed) {
    for (int index = 0; index < 4; ++index) {
      this->hosts.push_back(std::make_unique<Host>(
          "h" + std::to_string(index), index % 2 == 0 ? "lukot" : "norte",
          this->store));
    }
    this->in_flight.assign(4, 0);
    this->Restart();
  }

  void Restart() {
    this->mover =
        std::make_unique<OwnershipMover>(ToNorte(), Bounds(), this->store);
  }

  void ActHost() {
    const std::size_t index = this->random() % 4;
    Host& host = *this->hosts[index];
    switch (this->random() % 4) {
      case 0:
        host.Look();
        break;
      case 1:
        host.Tell();
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

  void ActMover() {
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
    moving&& this->random() % 4 == 0 ? this->ActMover() : this->ActHost();
    while (this->random() % 3 != 0) {
      this->store.Step();
    }
    // Some hosts' clocks run on while others are hardly scheduled: that is
    // what a pause looks like from here.
    const auto pass_ms = static_cast<std::int64_t>(this->random() % 300);
    for (const auto& host : this->hosts) {
      host->clock.Advance(pass_ms);
    }
  }

  /// Whether the halves have work of the workspace in flight at once.
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

}  // namespace both_halves

Test(both_halves_running, never_have_one_workspace_in_flight_at_once) {
  int by_old = 0;
  int by_new = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    both_halves::Fleet fleet(seed);
    for (int step = 0; step < 1'500; ++step) {
      fleet.Step();
      cr_assert(!fleet.Overlap());
    }
    by_old += fleet.started[0];
    by_new += fleet.started[1];
  }
  cr_assert(by_old > 300 && by_new > 300, "%d %d", by_old, by_new);
}

}  // namespace
}  // namespace meadowthread
