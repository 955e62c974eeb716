#include "cli/zone_commands.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "cli/await.h"
#include "cli/change_command.h"
#include "cli/operator_options.h"
#include "cli/platform_command.h"
#include "cli/text_table.h"
#include "cli/utc_time.h"
#include "configuration/marks.h"
#include "configuration/operator_change.h"
#include "configuration/template_document.h"

namespace meadowthread {
namespace {

bool IsListed(const HostList& list, const std::string& zone) {
  return std::any_of(
      list.hosts.begin(), list.hosts.end(),
      [&zone](const HostEntry& entry) { return entry.zone == zone; });
}

std::string_view StateOf(HostMark mark) {
  return mark == HostMark::kLive ? "taken back" : "emptied";
}

class ChangeInvocation final : public Invocation {
 public:
  ChangeInvocation(TCLAP::CmdLine& line, HostMark mark, const Clock& clock,
                   NonceSource& operations)
      : zone("zone", "the name of the availability zone", true, "", "ZONE",
             line),
        unlisted("", "unlisted",
                 "changes the zone even if no host of the host list is in it",
                 line),
        author(line),
        operation(line),
        mark(mark),
        clock(clock),
        operations(operations) {}

  CommandResult Run(const RunContext& context) override {
    if (!IsName(this->zone.getValue())) {
      return UsageResult("ZONE is not a valid availability zone name");
    }
    const absl::StatusOr<std::string> author_name = this->author.Author();
    if (!author_name.ok()) {
      return UsageResult(author_name.status());
    }
    // With a misspelt name the change would have no effect, and the intended
    // zone would keep receiving work.
    const absl::StatusOr<HostList> list = context.platform.ListHosts();
    if (list.ok() && !this->unlisted.getValue() &&
        !IsListed(*list, this->zone.getValue())) {
      return this->NotListed();
    }
    MarkDocument document;
    document.host = this->zone.getValue();
    document.mark = this->mark;
    document.operation = this->operation.Operation(this->operations);
    document.set_by = *author_name;
    document.unix_ms = this->clock.WallMs();
    const ChangeResult end = AwaitChange(
        context.platform,
        [&document](OperatorChanges& changes, const ChangeDone& done) {
          changes.PutZone(document, done);
        });
    return ReportChange(context.platform, end,
                        absl::StrCat("zone ", document.host, " ",
                                     std::string(StateOf(this->mark))),
                        document.operation);
  }

 private:
  CommandResult NotListed() {
    CommandResult result;
    result.code = ExitCode::kNotFound;
    result.text = absl::StrCat("no host is in the availability zone ",
                               this->zone.getValue(),
                               "; nothing was changed (--unlisted changes it "
                               "anyway)\n");
    return result;
  }

  TCLAP::UnlabeledValueArg<std::string> zone;
  TCLAP::SwitchArg unlisted;
  AuthorOption author;
  OperationOption operation;
  HostMark mark;
  const Clock& clock;
  NonceSource& operations;
};

class ChangeCommand final : public PlatformCommand {
 public:
  ChangeCommand(PlatformConnector& connector, const CommandHelp& help,
                HostMark mark, const Clock& clock, NonceSource& operations)
      : PlatformCommand(connector, help),
        mark(mark),
        clock(clock),
        operations(operations) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) override {
    return std::make_unique<ChangeInvocation>(line, this->mark, this->clock,
                                              this->operations);
  }

 private:
  HostMark mark;
  const Clock& clock;
  NonceSource& operations;
};

class ListInvocation final : public Invocation {
 public:
  CommandResult Run(const RunContext& context) override {
    const absl::StatusOr<ObjectList> list =
        AwaitList(context.platform, kEmptiedZonesKind);
    if (!list.ok()) {
      return FailedResult(list.status());
    }
    CommandResult result;
    result.json["zones"] = nlohmann::ordered_json::array();
    TextTable table({"ZONE", "STATE", "BY", "SINCE"});
    for (const StoredObject& object : list->items) {
      const absl::StatusOr<MarkDocument> read = MarkFromJson(object.value);
      const MarkDocument document = read.value_or(MarkDocument{});
      const std::string state = read.ok() ? std::string(StateOf(document.mark))
                                          : "unreadable, counts as emptied";
      table.Add(
          {object.name, state, document.set_by, UtcTime(document.unix_ms)});
      result.json["zones"].push_back({{"zone", object.name},
                                      {"state", state},
                                      {"set_by", document.set_by},
                                      {"unix_ms", document.unix_ms}});
    }
    result.text = table.Text();
    return result;
  }
};

class ListCommand final : public PlatformCommand {
 public:
  explicit ListCommand(PlatformConnector& connector)
      : PlatformCommand(
            connector,
            {"zone list",
             "lists which availability zones are emptied",
             "Lists the availability zones that operators emptied or took "
             "back, with the operator\nand the time.",
             {"meadowthread zone list --settings entry-1.yaml"}}) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& /*line*/) override {
    return std::make_unique<ListInvocation>();
  }
};

}  // namespace

std::unique_ptr<Command> MakeZoneListCommand(PlatformConnector& connector) {
  return std::make_unique<ListCommand>(connector);
}

std::unique_ptr<Command> MakeZoneEmptyCommand(PlatformConnector& connector,
                                              const Clock& clock,
                                              NonceSource& operations) {
  const CommandHelp help{
      "zone empty",
      "stops sending new work to an availability zone",
      "Within five seconds no entry host sends new work to engines and backend "
      "servers of\nthe zone. Running work finishes. Stays in effect until "
      "`zone take-back`, also across\nrestarts.",
      {"meadowthread zone empty makati-hall --author ana"}};
  return std::make_unique<ChangeCommand>(connector, help, HostMark::kLeaving,
                                         clock, operations);
}

std::unique_ptr<Command> MakeZoneTakeBackCommand(PlatformConnector& connector,
                                                 const Clock& clock,
                                                 NonceSource& operations) {
  const CommandHelp help{"zone take-back",
                         "uses an availability zone again",
                         "Reverses `zone empty`.",
                         {"meadowthread zone take-back makati-hall --author "
                          "ana"}};
  return std::make_unique<ChangeCommand>(connector, help, HostMark::kLive,
                                         clock, operations);
}

}  // namespace meadowthread
