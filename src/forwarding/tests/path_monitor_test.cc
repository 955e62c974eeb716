// When a host takes its path to the servers for lost, and when for back.
#include "forwarding/path_monitor.h"

#include <criterion/criterion.h>

#include "base/clock.h"
#include "base/manual_scheduler.h"
#include "forwarding/path_prober.h"
#include "quarantine/tests/fake_listen_check.h"

namespace meadowthread {
namespace {

struct MonitorFixture {
  explicit MonitorFixture(std::size_t servers = 6) {
    this->monitor.SetServers(servers);
  }
  void Fail(std::initializer_list<const char*> addresses) {
    for (const char* const address : addresses) {
      this->monitor.NoteConnectFailed(address);
    }
  }
  void Advance(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }

  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  PathMonitor monitor{this->clock};
  testing::FakeListenCheck probe;
};

Test(a_path, is_lost_once_several_servers_can_not_be_connected_to) {
  MonitorFixture fixture;
  fixture.Fail({"a", "b"});
  cr_assert(!fixture.monitor.IsLost());
  fixture.Fail({"c"});
  cr_assert(fixture.monitor.IsLost());
}

Test(a_path, is_not_lost_because_one_server_is_down) {
  MonitorFixture fixture;
  fixture.Fail({"a", "a", "a", "a"});
  cr_assert(!fixture.monitor.IsLost());
}

Test(a_path, is_not_lost_while_connections_succeed) {
  MonitorFixture fixture;
  fixture.Fail({"a", "b"});
  fixture.monitor.NoteConnected("c");
  fixture.Fail({"d"});
  cr_assert(!fixture.monitor.IsLost());
}

Test(a_path, is_not_lost_because_servers_go_down_one_after_the_other) {
  MonitorFixture fixture;
  for (const char* const address : {"a", "b", "c", "d"}) {
    fixture.Fail({address});
    fixture.clock.Advance(1'500);
  }
  cr_assert(!fixture.monitor.IsLost());
}

Test(a_path, is_lost_with_two_servers_if_there_are_no_more) {
  MonitorFixture fixture(2);
  fixture.Fail({"a", "b"});
  cr_assert(fixture.monitor.IsLost());
}

Test(a_lost_path, is_back_with_the_first_connection) {
  MonitorFixture fixture;
  fixture.Fail({"a", "b", "c"});
  fixture.clock.Advance(60'000);
  cr_assert(fixture.monitor.IsLost(), "it is not back by itself");
  fixture.monitor.NoteConnected("b");
  cr_assert(!fixture.monitor.IsLost());
}

Test(a_lost_path, is_probed_until_it_is_back) {
  MonitorFixture fixture;
  std::mt19937_64 random{3};
  PathProber prober(fixture.monitor, fixture.probe, fixture.scheduler, random,
                    [] {
                      return std::vector<std::string>{"a", "b", "c"};
                    });
  prober.Start();
  fixture.Advance(1'000);
  cr_assert(fixture.probe.asked.empty(), "a sound path costs no probes");
  fixture.Fail({"a", "b", "c"});
  fixture.Advance(300);
  cr_assert(fixture.probe.asked.size() == 2);
  fixture.probe.Answer(ListenProbeResult::kSilent);
  fixture.probe.Answer(ListenProbeResult::kRefused);
  cr_assert(fixture.monitor.IsLost());
  fixture.Advance(300);
  fixture.probe.Answer(ListenProbeResult::kListens);
  cr_assert(!fixture.monitor.IsLost());
}

// Servers of a host that had lost its path were taken for crashed by the
// requests that ran there.
Test(a_refused_connection, shows_no_crash_while_the_path_is_lost) {
  MonitorFixture fixture;
  PathAwareProbe aware(fixture.monitor, fixture.probe, fixture.scheduler);
  std::vector<ListenProbeResult> results;
  for (const char* const address : {"a", "b", "c"}) {
    aware.Ask(address, 100, [&results](ListenProbeResult result) {
      results.push_back(result);
    });
  }
  for (int n = 0; n < 3; ++n) {
    fixture.probe.Answer(ListenProbeResult::kRefused);
  }
  fixture.Advance(100);
  cr_assert(results.size() == 3);
  for (const ListenProbeResult result : results) {
    cr_assert(result == ListenProbeResult::kSilent);
  }
}

Test(a_refused_connection, shows_a_crash_while_the_path_is_sound) {
  MonitorFixture fixture;
  PathAwareProbe aware(fixture.monitor, fixture.probe, fixture.scheduler);
  std::vector<ListenProbeResult> results;
  aware.Ask("a", 100, [&results](ListenProbeResult result) {
    results.push_back(result);
  });
  fixture.probe.Answer(ListenProbeResult::kRefused);
  fixture.Advance(100);
  cr_assert(results.size() == 1 && results[0] == ListenProbeResult::kRefused);
}

}  // namespace
}  // namespace meadowthread
