// When a host takes its path to the servers for lost, and when for back.
#include "forwarding/path_monitor.h"

#include <criterion/criterion.h>

#include "base/clock.h"

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

  ManualClock clock{1'000'000};
  PathMonitor monitor{this->clock};
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

}  // namespace
}  // namespace meadowthread
