// Load notes between hosts: which changes wait for others, and which do not.
#include "exchange/load_datagrams.h"

#include <criterion/criterion.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QUdpSocket>
#include <algorithm>
#include <string>
#include <vector>

#include "base/manual_scheduler.h"

namespace meadowthread {
namespace {

struct NotesOfTest final : LoadSource, LoadSink, LoadRecipients {
  std::vector<EngineLoadNote> NotesFor(std::string_view, std::size_t) override {
    return this->own;
  }
  void OnNotes(std::string_view,
               std::span<const EngineLoadNote> notes) override {
    this->received.insert(this->received.end(), notes.begin(), notes.end());
  }
  bool IsEverybody() const override { return true; }
  std::vector<std::string> HostsFor(std::string_view) const override {
    return {};
  }

  std::vector<EngineLoadNote> own;
  std::vector<EngineLoadNote> received;
};

EngineLoadNote Note(std::int64_t in_flight) {
  EngineLoadNote note;
  note.engine = "e-1";
  note.in_flight = in_flight;
  note.prefill_backlog = in_flight * 3'000;
  return note;
}

/// @brief Host "a", whose time stands still until a test moves it, sends to
/// host "b".
struct LoadDatagramsFixture {
  LoadDatagramsFixture() {
    for (DatagramHub* const hub : {&this->hub_a, &this->hub_b}) {
      QUdpSocket probe;
      probe.bind(QHostAddress::LocalHost, 0);
      const std::uint16_t port = probe.localPort();
      probe.close();
      cr_assert(hub->Start("127.0.0.1", port).ok());
      this->peers.push_back(
          {hub == &this->hub_a ? "a" : "b", "127.0.0.1", port});
    }
    this->hub_a.SetPeers(this->peers);
    this->clock.Advance(10'000);
    this->sender.Start();
  }
  /// @brief Lets host b receive until it has this many notes.
  bool Receives(std::size_t count) {
    constexpr int kMaxTurns = 500;
    for (int n = 0; n < kMaxTurns && this->at_b.received.size() < count; ++n) {
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
    }
    return this->at_b.received.size() == count;
  }
  void NextInterval() {
    this->clock.Advance(25);
    this->scheduler.RunDue();
  }

  int argc = 0;
  QCoreApplication application{this->argc, nullptr};
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  std::vector<DatagramPeer> peers;
  DatagramHub hub_a{"a", 100'000, 1, clock};
  DatagramHub hub_b{"b", 100'000, 2, clock};
  NotesOfTest at_a;
  NotesOfTest at_b;
  LoadDatagrams sender{hub_a, at_a, at_a, at_a, clock, scheduler};
  LoadDatagrams receiver{hub_b, at_b, at_b, at_b, clock, scheduler};
};

// Guards against refusals by an idle fleet: a caller whose stream had just
// ended at one host met the old load at the next one, as ends were gathered for
// 25 ms.
Test(freed_capacity, is_told_without_waiting_for_the_interval) {
  LoadDatagramsFixture fixture;
  fixture.at_a.own = {Note(1)};
  fixture.NextInterval();
  cr_assert(fixture.Receives(1) && fixture.at_b.received[0].in_flight == 1);
  fixture.at_a.own = {Note(0)};
  fixture.sender.SendFreed(Note(0));
  cr_assert(fixture.Receives(2) && fixture.at_b.received[1].in_flight == 0);
  fixture.NextInterval();
  fixture.at_a.own = {Note(2)};
  fixture.NextInterval();
  cr_assert(fixture.Receives(3), "what was told at once is not told again");
  cr_assert(fixture.at_b.received[2].in_flight == 2);
}

Test(freed_capacity, beyond_a_few_notes_waits_for_the_interval) {
  LoadDatagramsFixture fixture;
  fixture.at_a.own = {Note(1)};
  for (int left = 5; left >= 1; --left) {
    fixture.sender.SendFreed(Note(left));
  }
  cr_assert(fixture.Receives(2));
  fixture.NextInterval();
  cr_assert(fixture.Receives(3) && fixture.at_b.received[2].in_flight == 1);
}

}  // namespace
}  // namespace meadowthread
