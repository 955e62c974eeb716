#include "soak/round.h"

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

Asked Round::Next(Draw& draw, int host, bool by_link, int small_in) {
  Asked asked;
  asked.id = absl::StrCat("q-", ++this->course.asked);
  asked.host = host;
  asked.by_link = by_link;
  asked.while_stopping = this->disturbed.ended_hosts.contains(host);
  if (draw.OneIn(small_in)) {
    asked.kind = draw.OneIn(2) ? Kind::kOnce : Kind::kAgain;
    asked.length = draw.Between(10, 60);
  } else {
    asked.kind = Kind::kStream;
    asked.length = draw.Between(300, 2'500);
  }
  while (!this->course.lengths.insert(asked.length).second) {
    ++asked.length;
  }
  return asked;
}

// How often a caller sends depends on when its host ends, so that it must not
// take from what the others decide by.
void Round::AddCaller(int host) {
  const auto own = std::make_shared<Draw>(this->course.draw.Fork());
  Draw& draw = *own;
  const bool by_link = draw.OneIn(3);
  Manner manner;
  manner.receive_bytes = this->course.world.ReceiveBytes();
  manner.follow_ups = draw.Below(3);
  manner.pipelines = draw.OneIn(4);
  manner.leaves = draw.OneIn(8);
  manner.heeds_the_close = draw.OneIn(2);
  const bool slow = !draw.OneIn(3);
  const int read_s = draw.Between(2, 4);
  auto first =
      std::make_shared<Asked>(this->Next(draw, host, by_link, slow ? 8 : 2));
  manner.bytes_per_10_ms =
      slow ? static_cast<std::size_t>(1 + first->length *
                                              this->course.world.EventBytes() /
                                              (read_s * kTicksASecond))
           : kFastBytes;
  this->callers.push_back(std::make_unique<SoakCaller>(
      manner,
      [this, own, host, by_link, first, begun = false]() mutable {
        return std::exchange(begun, true) ? this->Next(*own, host, by_link, 1)
                                          : *first;
      },
      [this](const Asked& asked) {
        return this->course.world.RequestOf(asked);
      }));
}

// One a host, so that each kind of request meets each fault.
void Round::AddSmallCallers() {
  for (int host = 0; host < kHosts; ++host) {
    const auto own = std::make_shared<Draw>(this->course.draw.Fork());
    this->callers.push_back(std::make_unique<SoakCaller>(
        Manner{kFastBytes, this->course.world.ReceiveBytes(), 2},
        [this, own, host] { return this->Next(*own, host, false, 1); },
        [this](const Asked& asked) {
          return this->course.world.RequestOf(asked);
        }));
  }
}

bool Round::Until(const std::function<bool()>& done, int limit_ms) {
  const QDeadlineTimer limit(limit_ms);
  for (;;) {
    for (const auto& caller : this->callers) {
      caller->Step(this->disturbed.ended_hosts.contains(caller->Host()));
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

std::size_t Round::Bytes() const {
  std::size_t bytes = 0;
  for (const auto& caller : this->callers) {
    bytes += caller->Bytes();
  }
  return bytes;
}

bool Round::AreOver() const {
  for (const auto& caller : this->callers) {
    if (!caller->IsOver()) {
      return false;
    }
  }
  return true;
}

void Round::LetPass(int bytes) {
  const std::size_t until = this->Bytes() + static_cast<std::size_t>(bytes);
  this->Until([&] { return this->Bytes() >= until || this->AreOver(); },
              kStillMs);
}

///////////
// Faults
///////////

void Round::Stop(int host) {
  World& world = this->course.world;
  if (this->disturbed.ended_hosts.contains(host) && world.HandsOver()) {
    this->disturbed.late_hosts.insert(host);
  }
  this->Tell(absl::StrCat("stop host-", host));
  this->disturbed.ended_hosts.insert(host);
  world.Host(host).AskToStop();
}

void Round::StrikeLink(FaultProxy& link, const std::string& name,
                       bool* broken) {
  Draw& draw = this->course.draw;
  const int manner = draw.Below(4);
  const bool upward = draw.OneIn(2);
  LinkFault held;
  held.held = true;
  LinkFault slow;
  slow.delay_ms = draw.Between(5, 60);
  slow.bytes_per_tick = draw.Between(100, 400);
  *broken = manner != 3;
  if (manner == 0) {
    this->Tell(name + " is reset");
    link.ResetAll();
  } else if (manner == 1) {
    this->Tell(absl::StrCat(name, " is cut one way, upward=", upward));
    link.SetFaults(upward ? held : LinkFault{}, upward ? LinkFault{} : held);
  } else if (manner == 2) {
    this->Tell(name + " is silent");
    link.SetFaults(held, held);
  } else {
    this->Tell(name + " is slow");
    link.SetFaults(slow, slow);
  }
}

// What was asked is done, and nobody hears of it: the link is reset later.
void Round::LoseAnswers(FaultProxy& link, const std::string& name) {
  LinkFault held;
  held.held = true;
  this->Tell(name + " loses answers");
  link.SetFaults({}, held);
  this->to_reset.push_back(&link);
}

bool Round::IsUndisturbed(int host) {
  return this->course.world.Host(host).IsRunning() &&
         !this->disturbed.ended_hosts.contains(host) &&
         !this->disturbed.killed_hosts.contains(host) &&
         !this->paused_hosts.contains(host) &&
         !this->store_links_hit.contains(host);
}

void Round::ChangeKeys() {
  World& world = this->course.world;
  this->course.second_key = !this->course.second_key;
  this->Tell(absl::StrCat("second key in force=", this->course.second_key));
  world.PutKeys(this->course.second_key);
  for (int n = 0; n < kHosts; ++n) {
    if (!this->IsUndisturbed(n)) {
      continue;
    }
    int status = 0;
    const bool follows = this->Until(
        [&] {
          status = world.StatusWithSecondKey(n);
          return (status != kUnauthorized) == this->course.second_key;
        },
        kInForceMs);
    if (!follows) {
      this->Complain(absl::StrCat("host-", n, " does not follow the keys, ",
                                  "status=", status));
    }
  }
}

void Round::EndEngine(int engine, bool killed) {
  World& world = this->course.world;
  // The others have to take what it leaves.
  if (!world.EnginesEnd() || !this->ended_engines.empty()) {
    return;
  }
  this->ended_engines.insert(engine);
  this->Tell(
      absl::StrCat(killed ? "kill " : "drain ", world.EngineName(engine)));
  if (killed) {
    this->disturbed.engines.insert(world.EngineName(engine));
    world.KillEngine(engine);
  } else {
    world.DrainEngine(engine);
  }
}

void Round::Strike(Fault fault) {
  World& world = this->course.world;
  Draw& draw = this->course.draw;
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
      this->Tell(absl::StrCat("kill host-", host));
      this->disturbed.killed_hosts.insert(host);
      this->disturbed.ended_hosts.insert(host);
      world.Host(host).Kill();
      break;
    case Fault::kPause:
      this->Tell(absl::StrCat("pause host-", host));
      this->paused_hosts.insert(host);
      world.Host(host).Freeze();
      this->LetPass(pass);
      world.Host(host).Thaw();
      break;
    case Fault::kReload:
      if (world.TakesReloads()) {
        this->Tell(absl::StrCat("reload host-", host));
        world.Host(host).Reload();
      }
      break;
    case Fault::kCallerLink:
    case Fault::kEngineLink:
    case Fault::kStoreLink:
    case Fault::kLoseAnswers:
      this->StrikeLinkOf(fault, host);
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

void Round::StrikeLinkOf(Fault fault, int host) {
  World& world = this->course.world;
  const int back_end = this->course.draw.Below(world.BackEndLinks());
  const std::string engine = world.EngineName(back_end);
  bool broken = false;
  if (fault == Fault::kCallerLink) {
    this->StrikeLink(world.CallerLink(host),
                     absl::StrCat("link to host-", host), &broken);
    if (broken) {
      this->disturbed.broken_links.insert(host);
    }
  } else if (fault == Fault::kStoreLink) {
    this->StrikeLink(world.StoreLink(host),
                     absl::StrCat("link to the store of host-", host), &broken);
    this->store_links_hit.insert(host);
  } else if (fault == Fault::kEngineLink) {
    this->StrikeLink(world.EngineLink(back_end), "link to " + engine, &broken);
    if (broken) {
      this->disturbed.engines.insert(engine);
    }
  } else {
    this->LoseAnswers(world.EngineLink(back_end), "link to " + engine);
    this->disturbed.engines.insert(engine);
  }
}

///////////
// Course
///////////

void Round::Play() {
  World& world = this->course.world;
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
  this->StrikeAll();
  for (FaultProxy* const link : this->to_reset) {
    link->ResetAll();
  }
  world.HealLinks();
  if (!this->Until([this] { return this->AreOver(); }, kLimitMs)) {
    this->Complain("callers got no end");
    this->TellUnended();
  }
  this->Until(
      [&] {
        for (const int n : this->disturbed.ended_hosts) {
          if (world.Host(n).IsRunning() && !world.IsReady(n)) {
            return false;
          }
        }
        return true;
      },
      kLimitMs);
  this->RestartEnded();
  this->WaitForReturn();
  this->Judge();
}

// Faults one after the other, each while the ones before last, and callers
// that come among them.
void Round::StrikeAll() {
  Draw& draw = this->course.draw;
  const int faults = draw.Between(1, kMostFaults);
  int late = kLateCallers;
  for (int i = 0; i < faults; ++i) {
    const bool stops = i == 0 && !draw.OneIn(4);
    this->Strike(stops ? (draw.OneIn(3) ? Fault::kStopSeries : Fault::kStop)
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

void Round::RestartEnded() {
  World& world = this->course.world;
  for (int n = 0; n < kHosts; ++n) {
    if (world.Host(n).IsRunning()) {
      continue;
    }
    const bool killed = this->disturbed.killed_hosts.contains(n);
    if (!this->disturbed.ended_hosts.contains(n) ||
        (!killed && world.Host(n).ExitCode() != 0)) {
      this->Complain(absl::StrCat("host-", n, " ended by itself, exit code ",
                                  world.Host(n).ExitCode()));
    }
    this->Tell(absl::StrCat("start host-", n));
    world.StartHost(n);
  }
}

void Round::WaitForReturn() {
  World& world = this->course.world;
  for (const int engine : this->ended_engines) {
    world.ReplaceEngine(engine);
  }
  for (int n = 0; n < kHosts; ++n) {
    if (!this->Until([&] { return world.IsReady(n); }, kLimitMs)) {
      this->Complain(absl::StrCat("host-", n, " does not come back"));
    } else if (!this->Until(
                   [&] {
                     const int status = world.StatusWithSecondKey(n);
                     return (status != kUnauthorized) ==
                            this->course.second_key;
                   },
                   kInForceMs)) {
      this->Complain(absl::StrCat("host-", n, " came back with other keys"));
    }
  }
}

void Round::Judge() {
  World& world = this->course.world;
  world.ReadRecord();
  for (auto& [name, log] : world.Logs()) {
    const std::string news = log.substr(this->logs_before[name].size());
    if (news.find("event=stop-ends-rest") != std::string::npos) {
      this->disturbed.late_hosts.insert(name.back() - '0');
      this->Tell(name + " reached the end of its grace");
    }
  }
  for (const auto& caller : this->callers) {
    if (caller->GotTooMuch()) {
      this->Complain("bytes after the last answer: " +
                     caller->Exchanges().front().asked.id);
    }
    for (const SoakCaller::Exchange& exchange : caller->Exchanges()) {
      const std::string complaint =
          Complaint(world, this->disturbed, exchange.asked, exchange.answer);
      const std::string line = Describe(exchange.asked, exchange.answer,
                                        world.RunsOf(exchange.asked));
      this->Tell(line);
      if (!complaint.empty()) {
        this->Complain(absl::StrCat(complaint, ": ", line));
      }
      const Word word = world.WordOf(exchange.asked, exchange.answer);
      this->course.whole += word == Word::kWhole ? 1 : 0;
      this->course.excused +=
          word == Word::kCut || word == Word::kUnknown ? 1 : 0;
      if (word == Word::kNotRun) {
        ++this->course.not_run;
        this->course.refused.push_back(exchange);
      }
    }
  }
}

void Round::PlayQuiet() {
  World& world = this->course.world;
  std::vector<SoakCaller::Exchange> got;
  const auto all_whole = [&] {
    this->callers.clear();
    for (int n = 0; n < kHosts; ++n) {
      for (const int small_in : {1, 1'000'000}) {
        this->callers.push_back(std::make_unique<SoakCaller>(
            Manner{kFastBytes, world.ReceiveBytes()},
            [this, n, small_in] {
              return this->Next(this->course.draw, n, n == 0, small_in);
            },
            [&world](const Asked& asked) { return world.RequestOf(asked); }));
      }
    }
    this->Until([this] { return this->AreOver(); }, kLimitMs);
    for (const auto& caller : this->callers) {
      const SoakCaller::Exchange& exchange = caller->Exchanges().front();
      if (world.WordOf(exchange.asked, exchange.answer) != Word::kWhole) {
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
    this->Complain("not every host serves after all faults are over");
  }
}

void Round::TellUnended() {
  constexpr std::size_t kShownBytes = 80;
  for (const auto& caller : this->callers) {
    if (!caller->IsOver()) {
      const std::size_t bytes = caller->Bytes();
      this->Tell(absl::StrCat(
          "no end: ", caller->Exchanges().front().asked.id, ", ", bytes,
          " bytes came, the last of them ",
          caller->Raw().substr(bytes - std::min(bytes, kShownBytes))));
      this->Tell(ConnectionsOf(
          this->course.world.RequestOf(caller->Exchanges().front().asked)));
    }
  }
}

void Round::Tell(const std::string& what) {
  this->course.story.push_back(what);
}

void Round::Complain(const std::string& what) {
  this->Tell("BROKEN: " + what);
  this->course.complaints.push_back(what);
}

void JudgeCourse(Course& course) {
  course.world.ReadRecord();
  for (const SoakCaller::Exchange& exchange : course.refused) {
    if (course.world.RunsOf(exchange.asked).first > 0) {
      course.complaints.push_back("ran after it was refused as not run: " +
                                  exchange.asked.id);
    }
  }
}

}  // namespace meadowthread::soak
