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
      : zone("zone", "the availability zone", true, "", "ZONE", line),
        unlisted("", "unlisted",
                 "do it although no host of the host list is in the zone",
                 line),
        author(line),
        operation(line),
        mark(mark),
        clock(clock),
        operations(operations) {}

  CommandResult Run(const RunContext& context) override {
    if (!IsName(this->zone.getValue())) {
      return UsageResult("ZONE is no availability zone's name");
    }
    const absl::StatusOr<std::string> who = this->author.Author();
    if (!who.ok()) {
      return UsageResult(who.status());
    }
    // A misspelt zone would be emptied and the meant one go on taking work.
    const absl::StatusOr<HostList> list = context.platform.ListHosts();
    if (list.ok() && !this->unlisted.getValue() &&
        !IsListed(*list, this->zone.getValue())) {
      return this->NotListed();
    }
    MarkDocument document;
    document.host = this->zone.getValue();
    document.mark = this->mark;
    document.operation = this->operation.Operation(this->operations);
    document.set_by = *who;
    document.unix_ms = this->clock.WallMs();
    const ChangeResult end = AwaitChange(
        context.platform,
        [&document](OperatorChanges& changes, const ChangeDone& done) {
          changes.PutZone(document, done);
        });
    return TellChange(context.platform, end,
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
                               "all the same)\n");
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
             "tells which availability zones are emptied",
             "Tells the availability zones that operators emptied or took "
             "back, by whom and since\nwhen.",
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
      "sends nothing further to an availability zone",
      "Within five seconds no entry host sends anything new to engines and "
      "backend servers of\nthe zone. What runs there goes on to its end. Lasts "
      "until `zone take-back`, also\nthrough restarts.",
      {"meadowthread zone empty makati-hall --author ana"}};
  return std::make_unique<ChangeCommand>(connector, help, HostMark::kLeaving,
                                         clock, operations);
}

std::unique_ptr<Command> MakeZoneTakeBackCommand(PlatformConnector& connector,
                                                 const Clock& clock,
                                                 NonceSource& operations) {
  const CommandHelp help{"zone take-back",
                         "uses an availability zone again",
                         "Takes back what `zone empty` did.",
                         {"meadowthread zone take-back makati-hall --author "
                          "ana"}};
  return std::make_unique<ChangeCommand>(connector, help, HostMark::kLive,
                                         clock, operations);
}

}  // namespace meadowthread
