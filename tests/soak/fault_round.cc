#include "soak/fault_round.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QProcess>
#include <QThread>
#include <QUrl>
#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread::soak {
namespace {

// Longer than any machine needs; a wait that gets here has failed.
constexpr int kLimitMs = 45'000;
// A change is promised everywhere within five seconds; twice that on a machine
// that does other work as well.
constexpr int kInForceMs = 10'000;
// Between two faults, where nothing moves any more.
constexpr int kStillMs = 400;
constexpr int kAskAgainMs = 50;
constexpr int kCallersAHost = 3;
constexpr int kLateCallers = 4;
constexpr int kMostFaults = 4;
constexpr int kUnauthorized = 401;
constexpr int kTicksASecond = 100;
// Faster than answers come.
constexpr std::size_t kFastBytes = 2'048;

// What the kernel knows of the connections to a request's port.
std::string ConnectionsOf(const HttpRequest& request) {
  const QString port =
      QString::number(QUrl(QString::fromStdString(request.url)).port());
  QProcess ss;
  ss.start("ss",
           {"-tnoi", "sport", "=", ":" + port, "or", "dport", "=", ":" + port});
  ss.waitForFinished();
  return ss.readAllStandardOutput().toStdString();
}

}  // namespace

////////////
// Callers
////////////

SentRequest FaultRound::Next(Draw& draw, int host, bool by_link, int small_in) {
  SentRequest sent;
  sent.id = absl::StrCat("q-", ++this->state.sent);
  sent.host = host;
  sent.by_link = by_link;
  sent.while_stopping = this->effects.ended_hosts.contains(host);
  if (draw.OneIn(small_in)) {
    sent.kind =
        draw.OneIn(2) ? RequestKind::kNotRepeatable : RequestKind::kRepeatable;
    sent.length = draw.Between(10, 60);
  } else {
    sent.kind = RequestKind::kStream;
    sent.length = draw.Between(300, 2'500);
  }
  while (!this->state.lengths.insert(sent.length).second) {
    ++sent.length;
  }
  return sent;
}

// How often a caller sends depends on when its host ends, so that it must not
// take from what the others decide by.
void FaultRound::AddCaller(int host) {
  const auto own = std::make_shared<Draw>(this->state.draw.Fork());
  Draw& draw = *own;
  const bool by_link = draw.OneIn(3);
  CallerBehaviour behaviour;
  behaviour.receive_bytes = this->state.world.ReceiveBytes();
  behaviour.follow_ups = draw.Below(3);
  behaviour.pipelines = draw.OneIn(4);
  behaviour.leaves = draw.OneIn(8);
  behaviour.heeds_the_close = draw.OneIn(2);
  const bool slow = !draw.OneIn(3);
  const int read_s = draw.Between(2, 4);
  auto first = std::make_shared<SentRequest>(
      this->Next(draw, host, by_link, slow ? 8 : 2));
  behaviour.bytes_per_10_ms =
      slow ? static_cast<std::size_t>(1 + first->length *
                                              this->state.world.EventBytes() /
                                              (read_s * kTicksASecond))
           : kFastBytes;
  this->callers.push_back(std::make_unique<SoakCaller>(
      behaviour,
      [this, own, host, by_link, first, begun = false]() mutable {
        return std::exchange(begun, true) ? this->Next(*own, host, by_link, 1)
                                          : *first;
      },
      [this](const SentRequest& sent) {
        return this->state.world.RequestOf(sent);
      }));
}

// One a host, so that each kind of request meets each fault.
void FaultRound::AddSmallCallers() {
  for (int host = 0; host < kHosts; ++host) {
    const auto own = std::make_shared<Draw>(this->state.draw.Fork());
    this->callers.push_back(std::make_unique<SoakCaller>(
        CallerBehaviour{kFastBytes, this->state.world.ReceiveBytes(), 2},
        [this, own, host] { return this->Next(*own, host, false, 1); },
        [this](const SentRequest& sent) {
          return this->state.world.RequestOf(sent);
        }));
  }
}

bool FaultRound::Until(const std::function<bool()>& done, int limit_ms) {
  const QDeadlineTimer limit(limit_ms);
  for (;;) {
    for (const auto& caller : this->callers) {
      caller->Step(this->effects.ended_hosts.contains(caller->Host()));
    }
    if (done()) {
      return true;
    }
    if (limit.hasExpired()) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    QThread::msleep(1);
  }
}

std::size_t FaultRound::Bytes() const {
  std::size_t bytes = 0;
  for (const auto& caller : this->callers) {
    bytes += caller->Bytes();
  }
  return bytes;
}

bool FaultRound::AreOver() const {
  for (const auto& caller : this->callers) {
    if (!caller->IsOver()) {
      return false;
    }
  }
  return true;
}

void FaultRound::LetPass(int bytes) {
  const std::size_t until = this->Bytes() + static_cast<std::size_t>(bytes);
  this->Until([&] { return this->Bytes() >= until || this->AreOver(); },
              kStillMs);
}

///////////
// Faults
///////////

void FaultRound::Stop(int host) {
  World& world = this->state.world;
  if (this->effects.ended_hosts.contains(host) && world.HandsOver()) {
    this->effects.late_hosts.insert(host);
  }
  this->AddEvent(absl::StrCat("stop host-", host));
  this->effects.ended_hosts.insert(host);
  world.Host(host).AskToStop();
}

void FaultRound::BreakLink(FaultProxy& link, const std::string& name,
                           bool* broken) {
  Draw& draw = this->state.draw;
  const int behaviour = draw.Below(4);
  const bool upward = draw.OneIn(2);
  LinkFault held;
  held.held = true;
  LinkFault slow;
  slow.delay_ms = draw.Between(5, 60);
  slow.bytes_per_tick = draw.Between(100, 400);
  *broken = behaviour != 3;
  if (behaviour == 0) {
    this->AddEvent(name + " is reset");
    link.ResetAll();
  } else if (behaviour == 1) {
    this->AddEvent(absl::StrCat(name, " is cut one way, upward=", upward));
    link.SetFaults(upward ? held : LinkFault{}, upward ? LinkFault{} : held);
  } else if (behaviour == 2) {
    this->AddEvent(name + " is silent");
    link.SetFaults(held, held);
  } else {
    this->AddEvent(name + " is slow");
    link.SetFaults(slow, slow);
  }
}

// What was asked is done, and nobody hears of it: the link is reset later.
void FaultRound::LoseAnswers(FaultProxy& link, const std::string& name) {
  LinkFault held;
  held.held = true;
  this->AddEvent(name + " loses answers");
  link.SetFaults({}, held);
  this->to_reset.push_back(&link);
}

bool FaultRound::IsUnaffected(int host) {
  return this->state.world.Host(host).IsRunning() &&
         !this->effects.ended_hosts.contains(host) &&
         !this->effects.killed_hosts.contains(host) &&
         !this->paused_hosts.contains(host) &&
         !this->store_links_hit.contains(host);
}

void FaultRound::ChangeKeys() {
  World& world = this->state.world;
  this->state.second_key = !this->state.second_key;
  this->AddEvent(absl::StrCat("second key in force=", this->state.second_key));
  world.PutKeys(this->state.second_key);
  for (int n = 0; n < kHosts; ++n) {
    if (!this->IsUnaffected(n)) {
      continue;
    }
    int status = 0;
    const bool follows = this->Until(
        [&] {
          status = world.StatusWithSecondKey(n);
          return (status != kUnauthorized) == this->state.second_key;
        },
        kInForceMs);
    if (!follows) {
      this->AddViolation(absl::StrCat("host-", n, " does not follow the keys, ",
                                      "status=", status));
    }
  }
}

void FaultRound::EndEngine(int engine, bool killed) {
  World& world = this->state.world;
  // The others have to take what it leaves.
  if (!world.EnginesEnd() || !this->ended_engines.empty()) {
    return;
  }
  this->ended_engines.insert(engine);
  this->AddEvent(
      absl::StrCat(killed ? "kill " : "drain ", world.EngineName(engine)));
  if (killed) {
    this->effects.engines.insert(world.EngineName(engine));
    world.KillEngine(engine);
  } else {
    world.DrainEngine(engine);
  }
}

void FaultRound::Inject(Fault fault) {
  World& world = this->state.world;
  Draw& draw = this->state.draw;
  const int host = draw.Below(kHosts);
  const int pass = draw.Between(500, 5'000);
  switch (fault) {
    case Fault::kStop:
      this->Stop(host);
      break;
    case Fault::kStopSeries:
      this->Stop(host);
      this->LetPass(pass);
      this->Stop((host + 1) % kHosts);
      break;
    case Fault::kKill:
      this->AddEvent(absl::StrCat("kill host-", host));
      this->effects.killed_hosts.insert(host);
      this->effects.ended_hosts.insert(host);
      world.Host(host).Kill();
      break;
    case Fault::kPause:
      this->AddEvent(absl::StrCat("pause host-", host));
      this->paused_hosts.insert(host);
      world.Host(host).Freeze();
      this->LetPass(pass);
      world.Host(host).Thaw();
      break;
    case Fault::kReload:
      if (world.TakesReloads()) {
        this->AddEvent(absl::StrCat("reload host-", host));
        world.Host(host).Reload();
      }
      break;
    case Fault::kCallerLink:
    case Fault::kEngineLink:
    case Fault::kStoreLink:
    case Fault::kLoseAnswers:
      this->BreakLinkOf(fault, host);
      break;
    case Fault::kDrainEngine:
    case Fault::kKillEngine:
      this->EndEngine(draw.Below(kEngines), fault == Fault::kKillEngine);
      break;
    case Fault::kKeys:
      this->ChangeKeys();
      break;
  }
}

void FaultRound::BreakLinkOf(Fault fault, int host) {
  World& world = this->state.world;
  const int back_end = this->state.draw.Below(world.BackEndLinks());
  const std::string engine = world.EngineName(back_end);
  bool broken = false;
  if (fault == Fault::kCallerLink) {
    this->BreakLink(world.CallerLink(host), absl::StrCat("link to host-", host),
                    &broken);
    if (broken) {
      this->effects.broken_links.insert(host);
    }
  } else if (fault == Fault::kStoreLink) {
    this->BreakLink(world.StoreLink(host),
                    absl::StrCat("link to the store of host-", host), &broken);
    this->store_links_hit.insert(host);
  } else if (fault == Fault::kEngineLink) {
    this->BreakLink(world.EngineLink(back_end), "link to " + engine, &broken);
    if (broken) {
      this->effects.engines.insert(engine);
    }
  } else {
    this->LoseAnswers(world.EngineLink(back_end), "link to " + engine);
    this->effects.engines.insert(engine);
  }
}

///////////
// Course
///////////

void FaultRound::Play() {
  World& world = this->state.world;
  this->logs_before = world.Logs();
  for (int i = 0; i < kHosts * kCallersAHost; ++i) {
    this->AddCaller(i % kHosts);
  }
  this->Until(
      [this] {
        for (const auto& caller : this->callers) {
          if (!caller->HasBegun()) {
            return false;
          }
        }
        return true;
      },
      kLimitMs);
  this->InjectFaults();
  for (FaultProxy* const link : this->to_reset) {
    link->ResetAll();
  }
  world.HealLinks();
  if (!this->Until([this] { return this->AreOver(); }, kLimitMs)) {
    this->AddViolation("callers got no end");
    this->AddUnfinished();
  }
  this->Until(
      [&] {
        for (const int n : this->effects.ended_hosts) {
          if (world.Host(n).IsRunning() && !world.IsReady(n)) {
            return false;
          }
        }
        return true;
      },
      kLimitMs);
  this->RestartEnded();
  this->WaitUntilReady();
  this->CheckAnswers();
}

// Faults one after the other, each while the ones before last, and callers
// that come among them.
void FaultRound::InjectFaults() {
  Draw& draw = this->state.draw;
  const int faults = draw.Between(1, kMostFaults);
  int late = kLateCallers;
  for (int i = 0; i < faults; ++i) {
    const bool stops = i == 0 && !draw.OneIn(4);
    this->Inject(stops ? (draw.OneIn(3) ? Fault::kStopSeries : Fault::kStop)
                       : kFaults[draw.Below(std::size(kFaults))]);
    if (late > 0) {
      --late;
      this->AddCaller(draw.Below(kHosts));
    }
    this->AddSmallCallers();
    this->LetPass(draw.Between(500, 8'000));
    if (draw.OneIn(3)) {
      this->RestartEnded();
    }
  }
  for (; late > 0; --late) {
    this->AddCaller(draw.Below(kHosts));
  }
  this->LetPass(draw.Between(500, 8'000));
}

void FaultRound::RestartEnded() {
  World& world = this->state.world;
  for (int n = 0; n < kHosts; ++n) {
    if (world.Host(n).IsRunning()) {
      continue;
    }
    const bool killed = this->effects.killed_hosts.contains(n);
    if (!this->effects.ended_hosts.contains(n) ||
        (!killed && world.Host(n).ExitCode() != 0)) {
      this->AddViolation(absl::StrCat("host-", n,
                                      " ended by itself, exit code ",
                                      world.Host(n).ExitCode()));
    }
    this->AddEvent(absl::StrCat("start host-", n));
    world.StartHost(n);
  }
}

void FaultRound::WaitUntilReady() {
  World& world = this->state.world;
  for (const int engine : this->ended_engines) {
    world.ReplaceEngine(engine);
  }
  for (int n = 0; n < kHosts; ++n) {
    if (!this->Until([&] { return world.IsReady(n); }, kLimitMs)) {
      this->AddViolation(absl::StrCat("host-", n, " does not come back"));
    } else if (!this->Until(
                   [&] {
                     const int status = world.StatusWithSecondKey(n);
                     return (status != kUnauthorized) == this->state.second_key;
                   },
                   kInForceMs)) {
      this->AddViolation(
          absl::StrCat("host-", n, " came back with other keys"));
    }
  }
}

void FaultRound::CheckAnswers() {
  World& world = this->state.world;
  world.ReadRecord();
  for (auto& [name, log] : world.Logs()) {
    const std::string news = log.substr(this->logs_before[name].size());
    if (news.find("event=stop-ends-rest") != std::string::npos) {
      this->effects.late_hosts.insert(name.back() - '0');
      this->AddEvent(name + " reached the end of its grace");
    }
  }
  for (const auto& caller : this->callers) {
    if (caller->GotTooMuch()) {
      this->AddViolation("bytes after the last answer: " +
                         caller->Exchanges().front().sent.id);
    }
    for (const SoakCaller::Exchange& exchange : caller->Exchanges()) {
      const std::string complaint =
          FindViolation(world, this->effects, exchange.sent, exchange.answer);
      const std::string line =
          Describe(exchange.sent, exchange.answer, world.RunsOf(exchange.sent));
      this->AddEvent(line);
      if (!complaint.empty()) {
        this->AddViolation(absl::StrCat(complaint, ": ", line));
      }
      const Outcome outcome = world.OutcomeOf(exchange.sent, exchange.answer);
      this->state.whole += outcome == Outcome::kComplete ? 1 : 0;
      this->state.excused +=
          outcome == Outcome::kTruncated || outcome == Outcome::kUnknown ? 1
                                                                         : 0;
      if (outcome == Outcome::kNotRun) {
        ++this->state.not_run;
        this->state.refused.push_back(exchange);
      }
    }
  }
}

void FaultRound::PlayQuiet() {
  World& world = this->state.world;
  std::vector<SoakCaller::Exchange> got;
  const auto all_whole = [&] {
    this->callers.clear();
    for (int n = 0; n < kHosts; ++n) {
      for (const int small_in : {1, 1'000'000}) {
        this->callers.push_back(std::make_unique<SoakCaller>(
            CallerBehaviour{kFastBytes, world.ReceiveBytes()},
            [this, n, small_in] {
              return this->Next(this->state.draw, n, n == 0, small_in);
            },
            [&world](const SentRequest& sent) {
              return world.RequestOf(sent);
            }));
      }
    }
    this->Until([this] { return this->AreOver(); }, kLimitMs);
    for (const auto& caller : this->callers) {
      const SoakCaller::Exchange& exchange = caller->Exchanges().front();
      if (world.OutcomeOf(exchange.sent, exchange.answer) !=
          Outcome::kComplete) {
        return false;
      }
    }
    return true;
  };
  const QDeadlineTimer limit(kLimitMs);
  bool whole = all_whole();
  while (!whole && !limit.hasExpired()) {
    this->callers.clear();
    this->Until([] { return false; }, kAskAgainMs);
    whole = all_whole();
  }
  if (!whole) {
    this->AddViolation("not every host serves after all faults are over");
  }
}

void FaultRound::AddUnfinished() {
  constexpr std::size_t kShownBytes = 80;
  for (const auto& caller : this->callers) {
    if (!caller->IsOver()) {
      const std::size_t bytes = caller->Bytes();
      this->AddEvent(absl::StrCat(
          "no end: ", caller->Exchanges().front().sent.id, ", ", bytes,
          " bytes came, the last of them ",
          caller->Raw().substr(bytes - std::min(bytes, kShownBytes))));
      this->AddEvent(ConnectionsOf(
          this->state.world.RequestOf(caller->Exchanges().front().sent)));
    }
  }
}

void FaultRound::AddEvent(const std::string& what) {
  this->state.events.push_back(what);
}

void FaultRound::AddViolation(const std::string& what) {
  this->AddEvent("BROKEN: " + what);
  this->state.violations.push_back(what);
}

void CheckLastingPromises(SoakState& state) {
  state.world.ReadRecord();
  for (const SoakCaller::Exchange& exchange : state.refused) {
    if (state.world.RunsOf(exchange.sent).first > 0) {
      state.violations.push_back("ran after it was refused as not run: " +
                                 exchange.sent.id);
    }
  }
}

}  // namespace meadowthread::soak
