#include "cli/status_command.h"

#include "cli/await.h"
#include "cli/entry_hosts.h"
#include "cli/platform_command.h"
#include "cli/status_report.h"

namespace meadowthread {
namespace {

std::string Note(const char* what, const absl::Status& status) {
  return std::string(what) + " could not be read: " +
         std::string(status.message().data(), status.message().size());
}

/// Reports whatever can be read, since the command is needed most while some
/// service is down.
CommandResult ReadStatus(Platform& platform, const Clock& clock) {
  const absl::StatusOr<HostList> list = platform.ListHosts();
  const absl::StatusOr<ObjectList> objects =
      AwaitList(platform, kStatusObjects);
  std::vector<HostEntry> hosts;
  if (list.ok()) {
    hosts = EntryHostsOf(*list);
  }
  const std::vector<HostReply> replies = platform.AskStatuses(hosts);
  StatusReport report =
      JoinStatuses(hosts, replies,
                   objects.ok() ? objects->items : std::vector<StoredObject>{},
                   clock.WallMs());
  if (!list.ok()) {
    report.notes.push_back(Note("the host list", list.status()));
  }
  if (!objects.ok()) {
    report.notes.push_back(Note("the status objects", objects.status()));
  }
  CommandResult result;
  result.code =
      !list.ok() && !objects.ok() ? ExitCode::kUnavailable : ExitCode::kOk;
  result.text = report.Text();
  result.json = report.Json();
  return result;
}

class StatusInvocation final : public Invocation {
 public:
  explicit StatusInvocation(const Clock& clock) : clock(clock) {}

  CommandResult Run(const RunContext& context) override {
    return ReadStatus(context.platform, this->clock);
  }

 private:
  const Clock& clock;
};

class StatusCommand final : public PlatformCommand {
 public:
  StatusCommand(PlatformConnector& connector, const Clock& clock)
      : PlatformCommand(
            connector,
            {"status",
             "shows the state of every entry host",
             "Asks every entry host of the host list for its state and shows "
             "in one table: the\nmark and readiness, the configuration "
             "revision and how long ago it was confirmed,\nload, and what a "
             "stop waits for. A host that does not answer is shown "
             "as\nunreachable, with the contents of its last status object.",
             {"meadowthread status --settings entry-1.yaml",
              "meadowthread status --object-api http://127.0.0.1:9000 "
              "--host-list http://127.0.0.1:9001/hosts --output json"}}),
        clock(clock) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& /*line*/) override {
    return std::make_unique<StatusInvocation>(this->clock);
  }

 private:
  const Clock& clock;
};

}  // namespace

std::unique_ptr<Command> MakeStatusCommand(PlatformConnector& connector,
                                           const Clock& clock) {
  return std::make_unique<StatusCommand>(connector, clock);
}

}  // namespace meadowthread
