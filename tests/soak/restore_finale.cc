#include "soak/restore_finale.h"

#include <chrono>

#include "absl/strings/str_cat.h"

namespace meadowthread::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
// As for other changes: twice the promised time on a busy machine.
constexpr milliseconds kInForce{10'000};

class Finale {
 public:
  // With decisions of its own, so that those of a seed stay what they were.
  explicit Finale(SoakState& state) : state(state), draw(state.draw.Fork()) {}

  void Play() {
    const int times = this->draw.Between(1, 3);
    for (int n = 0; n < times && this->state.violations.empty(); ++n) {
      this->Restore();
    }
    this->state.world.HealLinks();
    this->Change(true);
  }

 private:
  void Restore() {
    World& world = this->state.world;
    this->Change(true);
    world.KeepStoreCopy();
    const int writes = this->draw.Between(1, 30);
    for (int n = 0; n < writes; ++n) {
      world.PutKeys(true);
      tests::Pass(milliseconds(this->draw.Between(5, 40)));
    }
    const bool revokes = this->draw.OneIn(2);
    if (revokes) {
      this->Change(false);
    }
    if (this->draw.OneIn(2)) {
      this->Disturb();
    }
    this->state.events.push_back(
        absl::StrCat("the store goes back, ", writes,
                     " changes are lost, a key was revoked=", revokes));
    world.SetStoreDown(true);
    tests::Pass(milliseconds(this->draw.Between(100, 1'500)));
    world.RestoreStore();
    world.SetStoreDown(false);
    const auto rewritten =
        steady_clock::now() + milliseconds(this->draw.Between(0, 1'800));
    while (steady_clock::now() < rewritten) {
      if (revokes && this->CountTaking() > 0) {
        this->AddViolation("a revoked key is taken again after a restore");
        return;
      }
      tests::Pass(milliseconds(50));
    }
    world.PutKeys(!revokes);
    tests::Pass(milliseconds(this->draw.Between(0, 500)));
    this->Change(revokes);
  }

  void Disturb() {
    const bool silent = this->draw.OneIn(2);
    const int host = this->draw.Below(kHosts);
    this->state.events.push_back(
        absl::StrCat("the way to the store of host-", host,
                     silent ? " is silent" : " is reset"));
    FaultProxy& link = this->state.world.StoreLink(host);
    if (silent) {
      link.SilenceStanding();
    } else {
      link.ResetAll();
    }
  }

  // Gives the second key or takes it away, and waits until all hosts know it.
  void Change(bool second) {
    this->state.world.PutKeys(second);
    const int wanted = second ? kHosts : 0;
    const auto until = steady_clock::now() + kInForce;
    while (this->CountTaking() != wanted) {
      if (steady_clock::now() >= until) {
        this->AddViolation(
            absl::StrCat("a change is not in force: ", this->CountTaking(),
                         " hosts take a key, ", wanted, " are to"));
        return;
      }
      tests::Pass(milliseconds(50));
    }
  }

  // The hosts that take the second key.
  int CountTaking() {
    int taking = 0;
    for (int host = 0; host < kHosts; ++host) {
      taking += this->state.world.StatusWithSecondKey(host) == kOk ? 1 : 0;
    }
    return taking;
  }

  void AddViolation(const std::string& what) {
    this->state.violations.push_back(what);
  }

  SoakState& state;
  Draw draw;
};

}  // namespace

void PlayRestoreFinale(SoakState& state) {
  if (state.world.CanRestoreStore()) {
    Finale(state).Play();
  }
}

}  // namespace meadowthread::soak
