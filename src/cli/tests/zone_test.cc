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

struct Story {
  Story() {
    HostEntry engine;
    engine.name = "engine-1";
    engine.role = HostRole::kEngine;
    engine.zone = "makati";
    this->world.hosts->hosts = {engine};
  }

  RunRecord Run(Maker make, std::vector<std::string> arguments) {
    FakeConnector connector(this->world);
    arguments.insert(arguments.end(), {"--author", "ana", "--object-api",
                                       "http://h", "--host-list", "http://h"});
    return RunCommand(*make(connector, this->clock, this->operations),
                      arguments);
  }
  std::string List() {
    FakeConnector connector(this->world);
    return RunCommand(*MakeZoneListCommand(connector),
                      {"--object-api", "http://h"})
        .out;
  }
  bool IsEmptied() {
    bool emptied = false;
    this->world.store.Get(kEmptiedZonesKind, "makati",
                          [&emptied](const absl::StatusOr<StoredObject>& lies) {
                            emptied =
                                lies.ok() && MarkFromJson(lies->value)->mark ==
                                                 HostMark::kLeaving;
                          });
    this->world.store.Settle();
    return emptied;
  }

  FakeWorld world;
  ManualClock clock{1'790'000'000'000};
  RandomNonceSource operations;
};

Test(a_zone, is_emptied_and_taken_back) {
  Story story;
  cr_assert(story.Run(MakeZoneEmptyCommand, {"makati"}).code == ExitCode::kOk);
  cr_assert(story.IsEmptied());
  cr_assert(story.List().find("emptied") != std::string::npos);
  cr_assert(story.Run(MakeZoneTakeBackCommand, {"makati"}).code ==
            ExitCode::kOk);
  cr_assert(!story.IsEmptied());
  cr_assert(story.List().find("taken back") != std::string::npos);
}

Test(a_zone, without_hosts_is_emptied_only_with_unlisted) {
  Story story;
  cr_assert(story.Run(MakeZoneEmptyCommand, {"makatti"}).code ==
            ExitCode::kNotFound);
  cr_assert(story.Run(MakeZoneEmptyCommand, {"makatti", "--unlisted"}).code ==
            ExitCode::kOk);
  cr_assert(story.Run(MakeZoneEmptyCommand, {"no zone"}).code ==
            ExitCode::kUsage);
}

Test(a_zone, whose_object_cannot_be_read_counts_as_emptied) {
  Story story;
  story.world.Put(std::string(kEmptiedZonesKind), "makati", "{");
  cr_assert(story.List().find("counts as emptied") != std::string::npos);
}

}  // namespace
}  // namespace meadowthread
