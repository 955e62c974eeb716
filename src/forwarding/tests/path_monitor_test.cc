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

// One answer for all servers let a single server that was within reach send
// every attempt the way that was lost.
Test(a_server_that_is_reached, says_nothing_of_those_that_are_not) {
  MonitorFixture fixture;
  fixture.Fail({"a", "b", "c"});
  fixture.monitor.NoteConnected("x");
  for (const char* const lost : {"a", "b", "c"}) {
    cr_assert(fixture.monitor.IsLost(lost), "%s", lost);
  }
  cr_assert(!fixture.monitor.IsLost("x"));
  cr_assert(fixture.monitor.IsLost("untried"), "most are not within reach");
  cr_assert(!fixture.monitor.IsLost(), "some are");
}

Test(a_server_that_another_host_reaches, is_up) {
  MonitorFixture fixture;
  fixture.Fail({"a"});
  cr_assert(!fixture.monitor.IsLost("a") &&
            fixture.monitor.MayAskElsewhere("a"));
  fixture.monitor.NoteReachedElsewhere("a");
  cr_assert(fixture.monitor.IsLost("a"));
  cr_assert(!fixture.monitor.IsLost("b"), "one lost path says nothing of it");
}

Test(a_server_that_no_host_reaches, is_down) {
  MonitorFixture fixture;
  fixture.Fail({"a"});
  fixture.monitor.NoteDownElsewhere("a");
  cr_assert(!fixture.monitor.IsLost("a"));
  cr_assert(!fixture.monitor.MayAskElsewhere("a"), "nobody is asked again");
  fixture.clock.Advance(2'000);
  cr_assert(fixture.monitor.MayAskElsewhere("a"));
  fixture.monitor.NoteDownElsewhere("a");
  fixture.clock.Advance(2'000);
  cr_assert(!fixture.monitor.MayAskElsewhere("a"), "and more rarely each time");
}

// A third of the connections came up, and each of them ended the detour.
Test(a_path_that_lets_some_connections_through, is_lost_for_longer_each_time) {
  MonitorFixture fixture;
  std::mt19937_64 random{11};
  int changes = 0;
  bool was_lost = false;
  for (int tick = 0; tick < 100; ++tick) {
    fixture.clock.Advance(300);
    if (random() % 3 == 0) {
      fixture.monitor.NoteConnected("a");
    } else {
      fixture.monitor.NoteConnectFailed("a");
      fixture.monitor.NoteReachedElsewhere("a");
    }
    changes += fixture.monitor.IsLost("a") != was_lost ? 1 : 0;
    was_lost = fixture.monitor.IsLost("a");
  }
  cr_assert(changes <= 12, "%d changes in 30 s", changes);
}

// What other hosts first said made the return of a path take longer.
Test(a_path_that_was_taken_for_a_server_that_is_down, is_no_relapse) {
  MonitorFixture fixture;
  fixture.Fail({"a"});
  fixture.monitor.NoteReachedElsewhere("a");
  fixture.monitor.NoteDownElsewhere("a");
  fixture.clock.Advance(2'000);
  fixture.Fail({"a"});
  fixture.monitor.NoteReachedElsewhere("a");
  cr_assert(fixture.monitor.IsLost("a"));
  fixture.monitor.NoteConnected("a");
  cr_assert(!fixture.monitor.IsLost("a"));
}

Test(all_paths, are_back_once_several_servers_are_reached) {
  MonitorFixture fixture(60);
  for (int n = 0; n < 40; ++n) {
    fixture.monitor.NoteConnectFailed(std::to_string(n));
    fixture.clock.Advance(10);
  }
  cr_assert(fixture.monitor.LostPaths() == 40);
  for (const char* const back : {"3", "17", "31"}) {
    fixture.monitor.NoteConnected(back);
  }
  cr_assert(!fixture.monitor.HasLostPath());
}

Test(a_path_whose_connections_are_reset, is_lost) {
  MonitorFixture fixture;
  fixture.monitor.NoteReset("a");
  cr_assert(!fixture.monitor.IsLost("a"), "one may be the server's doing");
  fixture.monitor.NoteReset("a");
  cr_assert(fixture.monitor.IsLost("a"));
}

Test(servers_that_were_reached_before_a_cut, do_not_count_as_within_reach) {
  MonitorFixture fixture(20);
  for (int n = 0; n < 20; ++n) {
    fixture.monitor.NoteConnected(std::to_string(n));
  }
  fixture.clock.Advance(1'000);
  fixture.Fail({"0", "1", "2"});
  cr_assert(fixture.monitor.IsLost("9"));
}

Test(a_server_that_ended_a_kept_connection, is_probed) {
  MonitorFixture fixture;
  std::mt19937_64 random{3};
  PathProber prober(fixture.monitor, fixture.probe, fixture.scheduler, random,
                    [] {
                      return std::vector<std::string>{"a", "b"};
                    });
  prober.Start();
  fixture.monitor.NoteSuspect("a");
  fixture.Advance(300);
  cr_assert(fixture.probe.asked.size() == 1);
  fixture.probe.Answer(ListenProbeResult::kListens);
  fixture.Advance(300);
  cr_assert(fixture.probe.asked.empty());
}

Test(servers_presumed_out_of_reach, are_tried) {
  MonitorFixture fixture(6);
  std::mt19937_64 random{3};
  PathProber prober(
      fixture.monitor, fixture.probe, fixture.scheduler, random,
      [] { return std::vector<std::string>{"a", "b", "c", "d", "e", "f"}; });
  prober.Start();
  fixture.Fail({"a", "b", "c"});
  cr_assert(fixture.monitor.IsLost("e"));
  for (int tick = 0; tick < 20; ++tick) {
    fixture.Advance(300);
    while (!fixture.probe.asked.empty()) {
      const bool is_cut = fixture.probe.asked.front().first <= "c";
      fixture.probe.Answer(is_cut ? ListenProbeResult::kSilent
                                  : ListenProbeResult::kListens);
    }
  }
  cr_assert(!fixture.monitor.IsLost("e") && fixture.monitor.IsLost("a"));
}

}  // namespace
}  // namespace meadowthread
