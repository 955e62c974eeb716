#include "absl/strings/str_cat.h"
#include "cli/await.h"
#include "cli/ownership_commands.h"
#include "cli/platform_command.h"
#include "cli/text_table.h"
#include "placement/ownership.h"

namespace meadowthread {
namespace {

std::string_view StateName(OwnershipState state) {
  return state == OwnershipState::kDraining ? "draining" : "owned";
}

CommandResult ToCommandResult(const ObjectList& list, const std::string& only) {
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
        "no ownership object; the owner is the deployment that the settings "
        "name as default_owner\n";
    result.code = only.empty() ? ExitCode::kOk : ExitCode::kNotFound;
  }
  return result;
}

class OwnershipShowInvocation final : public Invocation {
 public:
  // An option rather than a positional argument: TCLAP records an optional
  // positional argument in a static variable and then rejects all later ones in
  // the same process.
  explicit OwnershipShowInvocation(TCLAP::CmdLine& line)
      : only("", "object", "shows only workspace.NAME or engine.NAME", false,
             "", "OBJECT", line) {}

  CommandResult Run(const RunContext& context) override {
    const absl::StatusOr<ObjectList> list =
        AwaitList(context.platform, kOwnershipKind);
    return list.ok() ? ToCommandResult(*list, this->only.getValue())
                     : FailedResult(list.status());
  }

 private:
  TCLAP::ValueArg<std::string> only;
};

class OwnershipShowCommand final : public PlatformCommand {
 public:
  explicit OwnershipShowCommand(PlatformConnector& connector)
      : PlatformCommand(
            connector,
            {"ownership show",
             "shows which deployment owns each workspace and engine",
             "During the migration each workspace and engine is owned by one "
             "deployment. Shows the\nstored owners, their epochs and moves in "
             "progress.",
             {"meadowthread ownership show --settings entry-1.yaml",
              "meadowthread ownership show --object workspace.makati "
              "--object-api http://127.0.0.1:9000 --output json"}}) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) override {
    return std::make_unique<OwnershipShowInvocation>(line);
  }
};

}  // namespace

std::unique_ptr<Command> MakeOwnershipShowCommand(
    PlatformConnector& connector) {
  return std::make_unique<OwnershipShowCommand>(connector);
}

}  // namespace meadowthread
