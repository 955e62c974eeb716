// Tests the commands with which operators empty availability zones and take
// them back.
#include <criterion/criterion.h>

#include "cli/tests/fake_platform.h"
#include "cli/zone_commands.h"
#include "configuration/marks.h"

namespace meadowthread {
namespace {

using Maker = std::unique_ptr<Command> (*)(PlatformConnector&, const Clock&,
                                           NonceSource&);

struct ZoneFixture {
  ZoneFixture() {
    HostEntry engine;
    engine.name = "engine-1";
    engine.role = HostRole::kEngine;
    engine.zone = "makati";
    this->state.hosts->hosts = {engine};
  }

  RunRecord Run(Maker make, std::vector<std::string> arguments) {
    FakeConnector connector(this->state);
    arguments.insert(arguments.end(), {"--author", "ana", "--object-api",
                                       "http://h", "--host-list", "http://h"});
    return RunCommand(*make(connector, this->clock, this->operations),
                      arguments);
  }
  std::string List() {
    FakeConnector connector(this->state);
    return RunCommand(*MakeZoneListCommand(connector),
                      {"--object-api", "http://h"})
        .out;
  }
  bool IsEmptied() {
    bool emptied = false;
    this->state.store.Get(
        kEmptiedZonesKind, "makati",
        [&emptied](const absl::StatusOr<StoredObject>& object) {
          emptied = object.ok() &&
                    MarkFromJson(object->value)->mark == HostMark::kLeaving;
        });
    this->state.store.Settle();
    return emptied;
  }

  FakePlatformState state;
  ManualClock clock{1'790'000'000'000};
  RandomNonceSource operations;
};

Test(a_zone, is_emptied_and_taken_back) {
  ZoneFixture fixture;
  cr_assert(fixture.Run(MakeZoneEmptyCommand, {"makati"}).code ==
            ExitCode::kOk);
  cr_assert(fixture.IsEmptied());
  cr_assert(fixture.List().find("emptied") != std::string::npos);
  cr_assert(fixture.Run(MakeZoneTakeBackCommand, {"makati"}).code ==
            ExitCode::kOk);
  cr_assert(!fixture.IsEmptied());
  cr_assert(fixture.List().find("taken back") != std::string::npos);
}

Test(a_zone, without_hosts_is_emptied_only_with_unlisted) {
  ZoneFixture fixture;
  cr_assert(fixture.Run(MakeZoneEmptyCommand, {"makatti"}).code ==
            ExitCode::kNotFound);
  cr_assert(fixture.Run(MakeZoneEmptyCommand, {"makatti", "--unlisted"}).code ==
            ExitCode::kOk);
  cr_assert(fixture.Run(MakeZoneEmptyCommand, {"no zone"}).code ==
            ExitCode::kUsage);
}

Test(a_zone, whose_object_cannot_be_read_counts_as_emptied) {
  ZoneFixture fixture;
  fixture.state.Put(std::string(kEmptiedZonesKind), "makati", "{");
  cr_assert(fixture.List().find("counts as emptied") != std::string::npos);
}

}  // namespace
}  // namespace meadowthread
