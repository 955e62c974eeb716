#include "absl/strings/str_cat.h"
#include "cli/await.h"
#include "cli/command_arguments.h"
#include "cli/command_result.h"
#include "cli/operator_options.h"
#include "cli/ownership_commands.h"
#include "cli/text_table.h"
#include "placement/ownership.h"

namespace meadowthread {
namespace {

std::string_view StateName(OwnershipState state) {
  return state == OwnershipState::kDraining ? "draining" : "owned";
}

CommandResult Tell(const ObjectList& list, const std::string& only) {
  CommandResult result;
  result.json["objects"] = nlohmann::ordered_json::array();
  TextTable table({"OBJECT", "OWNER", "EPOCH", "STATE", "NEXT OWNER"});
  bool any = false;
  for (const StoredObject& object : list.items) {
    if (!only.empty() && object.name != only) {
      continue;
    }
    any = true;
    const absl::StatusOr<OwnershipDocument> document =
        ParseOwnership(object.value);
    if (!document.ok()) {
      table.Add({object.name, "unreadable"});
      result.json["objects"].push_back(
          {{"object", object.name}, {"state", "unreadable"}});
      continue;
    }
    const std::string state(StateName(document->state));
    table.Add({object.name, document->owner, absl::StrCat(document->epoch),
               state, document->next_owner});
    result.json["objects"].push_back({{"object", object.name},
                                      {"owner", document->owner},
                                      {"address", document->address},
                                      {"epoch", document->epoch},
                                      {"state", state},
                                      {"next_owner", document->next_owner},
                                      {"version", object.version}});
  }
  result.text = table.Text();
  if (!any) {
    result.text =
        "no ownership object; the half that the settings name as "
        "default_owner owns\n";
    result.code = only.empty() ? ExitCode::kOk : ExitCode::kNotFound;
  }
  return result;
}

class OwnershipShowCommand final : public Command {
 public:
  explicit OwnershipShowCommand(PlatformConnector& connector)
      : connector(connector) {}

  const CommandHelp& Help() const override { return this->help; }

  ExitCode Run(std::span<const std::string> arguments,
               Console& console) override {
    CommandArguments parser(this->help, console);
    // Not a positional argument: TCLAP counts optional ones in a static, and
    // then refuses all that follow in the same process.
    TCLAP::ValueArg<std::string> only("", "object",
                                      "show only workspace.NAME or engine.NAME",
                                      false, "", "OBJECT", parser.Line());
    PlatformOptions options(parser.Line());
    OutputOption output(parser.Line());
    const std::optional<ExitCode> ended = parser.Parse(arguments);
    if (ended.has_value()) {
      return *ended;
    }
    const absl::StatusOr<PlatformAddress> address = options.Address();
    if (!address.ok()) {
      return parser.Refuse(address.status());
    }
    const std::unique_ptr<Platform> platform =
        this->connector.Connect(*address);
    const absl::StatusOr<ObjectList> list =
        AwaitList(*platform, kOwnershipKind);
    return output.Print(
        list.ok() ? Tell(*list, only.getValue()) : FailedResult(list.status()),
        console);
  }

 private:
  PlatformConnector& connector;
  CommandHelp help = {
      "ownership show",
      "tells which half owns what",
      "During the migration each workspace and engine is owned by one half. "
      "Shows the\nowners that are written down, their epochs and moves in "
      "progress.",
      {"meadowthread ownership show --settings entry-1.yaml",
       "meadowthread ownership show --object workspace.makati --object-api "
       "http://127.0.0.1:9000 --output json"}};
};

}  // namespace

std::unique_ptr<Command> MakeOwnershipShowCommand(
    PlatformConnector& connector) {
  return std::make_unique<OwnershipShowCommand>(connector);
}

}  // namespace meadowthread
