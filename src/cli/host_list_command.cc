#include <algorithm>

#include "absl/strings/str_cat.h"
#include "cli/await.h"
#include "cli/host_commands.h"
#include "cli/platform_command.h"
#include "cli/text_table.h"
#include "cli/utc_time.h"
#include "configuration/marks.h"

namespace meadowthread {
namespace {

constexpr std::string_view kMarksKind = "marks";

std::string_view RoleName(HostRole role) {
  switch (role) {
    case HostRole::kEntry:
      return "entry";
    case HostRole::kEngine:
      return "engine";
    case HostRole::kBackend:
      break;
  }
  return "backend";
}

/// A host's mark as text; "-" if it has none, "unreadable" if it cannot be
/// parsed.
std::string MarkText(std::span<const StoredObject> marks,
                     const std::string& host) {
  const auto found = std::find_if(
      marks.begin(), marks.end(),
      [&host](const StoredObject& mark) { return mark.name == host; });
  if (found == marks.end()) {
    return "-";
  }
  const absl::StatusOr<MarkDocument> document = MarkFromJson(found->value);
  if (!document.ok()) {
    return "unreadable";
  }
  return absl::StrCat(std::string(HostMarkName(document->mark)),
                      document->handover ? " (handover)" : "");
}

CommandResult ToCommandResult(const HostList& list,
                              const absl::StatusOr<ObjectList>& marks) {
  CommandResult result;
  result.json["as_of_unix_ms"] = list.as_of_unix_ms;
  result.json["hosts"] = nlohmann::ordered_json::array();
  result.json["marks_known"] = marks.ok();
  TextTable table({"NAME", "ROLE", "ADDRESS", "ZONE", "STATE", "MARK"});
  for (const HostEntry& host : list.hosts) {
    const std::string mark =
        marks.ok() ? MarkText(marks->items, host.name) : "?";
    const std::string state = host.leaving ? "leaving" : "live";
    table.Add({host.name, std::string(RoleName(host.role)),
               absl::StrCat(host.address, ":", host.port), host.zone, state,
               mark});
    result.json["hosts"].push_back({{"name", host.name},
                                    {"role", std::string(RoleName(host.role))},
                                    {"address", host.address},
                                    {"port", host.port},
                                    {"control_port", host.control_port},
                                    {"zone", host.zone},
                                    {"state", state},
                                    {"mark", mark}});
  }
  result.text = absl::StrCat(
      table.Text(), "host list as of ", UtcTime(list.as_of_unix_ms),
      marks.ok() ? "\n" : "; the marks could not be read\n");
  return result;
}

class HostListInvocation final : public Invocation {
 public:
  CommandResult Run(const RunContext& context) override {
    const absl::StatusOr<HostList> list = context.platform.ListHosts();
    if (!list.ok()) {
      return FailedResult(list.status());
    }
    return ToCommandResult(*list, AwaitList(context.platform, kMarksKind));
  }
};

class HostListCommand final : public PlatformCommand {
 public:
  explicit HostListCommand(PlatformConnector& connector)
      : PlatformCommand(
            connector,
            {"host list",
             "lists the platform's hosts and their marks",
             "Prints the platform's host list, which may be out of date, "
             "together with the current\nmarks set by operators.",
             {"meadowthread host list --settings entry-1.yaml"}}) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& /*line*/) override {
    return std::make_unique<HostListInvocation>();
  }
};

}  // namespace

std::unique_ptr<Command> MakeHostListCommand(PlatformConnector& connector) {
  return std::make_unique<HostListCommand>(connector);
}

}  // namespace meadowthread
