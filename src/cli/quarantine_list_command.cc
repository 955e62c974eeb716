#include "cli/await.h"
#include "cli/platform_command.h"
#include "cli/quarantine_commands.h"
#include "cli/text_table.h"
#include "cli/utc_time.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

std::string StateOf(const CrashRecord& record, const CrashVerdict& verdict) {
  if (record.kept_ms > record.cleared_ms) {
    return "kept";
  }
  if (verdict.in_quarantine) {
    return "quarantined";
  }
  return record.crashes.empty() ? "cleared" : "suspected";
}

CommandResult ToCommandResult(const ObjectList& list,
                              std::int64_t now_unix_ms) {
  CommandResult result;
  result.json["contents"] = nlohmann::ordered_json::array();
  TextTable table({"CONTENT", "WORKSPACE", "PART", "ROUTE", "STATE", "UNTIL",
                   "ENDS", "A REQUEST", "SERVERS"});
  for (const StoredObject& object : list.items) {
    const absl::StatusOr<CrashRecord> record =
        DecodeCrashRecord(object.name, object.value);
    if (!record.ok()) {
      table.Add({object.name, "?", "?", "?", "unreadable", "-", "-", "-", "-"});
      result.json["contents"].push_back(
          {{"content", object.name}, {"unreadable", true}});
      continue;
    }
    const CrashVerdict verdict = Judge(*record, now_unix_ms);
    const std::string state = StateOf(*record, verdict);
    const bool has_end = state == "quarantined";
    table.Add({object.name, record->id.workspace,
               record->part.empty() ? "-" : record->part, record->route, state,
               UtcTime(has_end ? verdict.until_ms : 0),
               std::to_string(record->crashes.size()), record->request,
               ServersText(*record)});
    nlohmann::ordered_json content = CrashRecordJson(*record);
    content["state"] = state;
    content["until_unix_ms"] = has_end ? verdict.until_ms : 0;
    content["strikes"] = verdict.strikes;
    result.json["contents"].push_back(content);
  }
  result.text = table.Text();
  return result;
}

class ListInvocation final : public Invocation {
 public:
  explicit ListInvocation(const Clock& clock) : clock(clock) {}

  CommandResult Run(const RunContext& context) override {
    const absl::StatusOr<ObjectList> list =
        AwaitList(context.platform, kQuarantineKind);
    if (!list.ok()) {
      return FailedResult(list.status());
    }
    return ToCommandResult(*list, this->clock.WallMs());
  }

 private:
  const Clock& clock;
};

class ListCommand final : public PlatformCommand {
 public:
  ListCommand(PlatformConnector& connector, const Clock& clock)
      : PlatformCommand(
            connector,
            {"quarantine list",
             "lists the request contents that crash servers",
             "Lists the contents (workspace, path, body) whose requests were "
             "running when servers\ncrashed, and the parts of prompts that "
             "such "
             "requests shared (PART), with those servers\nand until when no "
             "host sends such a request to any server.",
             {"meadowthread quarantine list --settings entry-1.yaml"}}),
        clock(clock) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& /*line*/) override {
    return std::make_unique<ListInvocation>(this->clock);
  }

 private:
  const Clock& clock;
};

}  // namespace

std::unique_ptr<Command> MakeQuarantineListCommand(PlatformConnector& connector,
                                                   const Clock& clock) {
  return std::make_unique<ListCommand>(connector, clock);
}

}  // namespace meadowthread
