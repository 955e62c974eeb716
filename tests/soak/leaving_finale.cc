#include "soak/leaving_finale.h"

#include <chrono>

#include "absl/strings/str_cat.h"
#include "net/pooled_client.h"
#include "process/caller.h"

namespace meadowthread::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kLeavings = 3;
// A server that left gets nothing after this.
constexpr milliseconds kLeaving{2'000};
// An emptied zone gets nothing after this.
constexpr milliseconds kEmptying{5'000};
// One that was taken back is used again; no bound is set on it.
constexpr milliseconds kTakenBack{2'500};
// Entries lapse once the store was away for three heartbeats of servers.
constexpr milliseconds kLapse{4'000};
// Living servers are listed anew within two seconds.
constexpr int kListedAnewMs = 1'700;
constexpr int kCallsAfter = 60;
constexpr int kOk = 200;

class Finale {
 public:
  explicit Finale(SoakState& state) : state(state) {}

  void Play() {
    for (int n = 0; n < kLeavings && this->state.violations.empty(); ++n) {
      this->Leave(n % this->state.world.PlainServers());
    }
    if (this->state.violations.empty()) {
      this->EmptyZone(this->state.draw.Below(this->state.world.PlainServers()));
    }
    if (this->state.violations.empty()) {
      this->Lapse();
    }
  }

 private:
  // One of the ways to the store of each host, or of one, is bad for a moment.
  void Disturb() {
    Draw& draw = this->state.draw;
    const bool all = draw.OneIn(2);
    const bool silent = draw.OneIn(2);
    const int only = draw.Below(kHosts);
    const int times = draw.Between(1, 5);
    this->state.events.push_back(
        absl::StrCat("ways to the store of ", all ? "all" : "one",
                     silent ? " fall silent" : " are reset, times=", times));
    for (int time = 0; time < times; ++time) {
      for (int host = 0; host < kHosts; ++host) {
        if (!all && host != only) {
          continue;
        }
        if (silent) {
          this->state.world.StoreLink(host).SilenceStanding();
        } else {
          this->state.world.StoreLink(host).ResetAll();
        }
      }
      tests::Pass(milliseconds(draw.Between(10, 60)));
    }
  }

  void Leave(int server) {
    World& world = this->state.world;
    Draw& draw = this->state.draw;
    this->Call(kHosts * 2);
    const bool before = draw.OneIn(4);
    if (before) {
      world.RemoveEntry(server);
    }
    this->Disturb();
    if (!before) {
      tests::Pass(milliseconds(draw.Between(0, 1'200)));
      world.RemoveEntry(server);
    }
    this->state.events.push_back(
        absl::StrCat("plain server ", server, " left, before=", before));
    tests::Pass(kLeaving);
    const int runs = world.RunsAtPlain(server);
    const int unserved = this->Call(kCallsAfter);
    const int late = world.RunsAtPlain(server) - runs;
    if (late > 0 || unserved > 0) {
      this->AddViolation(absl::StrCat(late,
                                      " calls reached a server that had left, ",
                                      unserved, " were not served"));
    }
    world.ListAgain(server);
    tests::Pass(milliseconds(draw.Between(100, 600)));
  }

  // Its servers stay, and get nothing until the zone is taken back.
  void EmptyZone(int server) {
    World& world = this->state.world;
    Draw& draw = this->state.draw;
    if (draw.OneIn(2)) {
      this->Disturb();
    }
    world.EmptyZone(server);
    this->state.events.push_back(
        absl::StrCat("the zone of plain server ", server, " is emptied"));
    tests::Pass(kEmptying);
    const int runs = world.RunsAtPlain(server);
    const int unserved = this->Call(kCallsAfter);
    const int late = world.RunsAtPlain(server) - runs;
    if (late > 0 || unserved > 0) {
      this->AddViolation(absl::StrCat(late, " calls reached an emptied zone, ",
                                      unserved, " were not served"));
    }
    world.TakeBackZone(server);
    tests::Pass(kTakenBack);
    this->Call(kCallsAfter);
    if (world.RunsAtPlain(server) == runs) {
      this->AddViolation("a zone that was taken back gets nothing");
    }
  }

  // All entries go while the store is away and come back after it.
  void Lapse() {
    World& world = this->state.world;
    this->state.events.emplace_back("all plain servers lapse");
    world.SetStoreDown(true);
    tests::Pass(kLapse);
    for (int server = 0; server < world.PlainServers(); ++server) {
      world.RemoveEntry(server);
    }
    world.SetStoreDown(false);
    const auto until =
        std::chrono::steady_clock::now() + milliseconds(kListedAnewMs);
    int unserved = 0;
    while (std::chrono::steady_clock::now() < until) {
      unserved += this->Call(kHosts);
    }
    for (int server = 0; server < world.PlainServers(); ++server) {
      world.ListAgain(server);
    }
    if (unserved > 0) {
      this->AddViolation(
          absl::StrCat(unserved, " calls were not served as entries lapsed"));
    }
    tests::Pass(milliseconds(1'000));
  }

  // Calls at all hosts in turn; how many were not served.
  int Call(int count) {
    int unserved = 0;
    for (int n = 0; n < count; ++n) {
      SentRequest sent;
      sent.id = absl::StrCat("leaving-", ++this->sent);
      sent.host = n % kHosts;
      sent.kind = RequestKind::kRepeatable;
      const int status =
          tests::Call(this->client, this->state.world.RequestOf(sent))
              .response.http_status;
      unserved += status == kOk ? 0 : 1;
    }
    return unserved;
  }

  void AddViolation(const std::string& what) {
    this->state.violations.push_back(what);
  }

  SoakState& state;
  PooledClient client;
  int sent = 0;
};

}  // namespace

void PlayLeavingFinale(SoakState& state) {
  if (state.world.PlainServers() > 0) {
    Finale(state).Play();
  }
}

}  // namespace meadowthread::soak
