#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "cli/ownership_commands.h"
#include "cli/platform_command.h"
#include "placement/ownership_mover.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kTickMs = 200;
constexpr std::int64_t kSecondMs = 1000;
constexpr int kDefaultWaitS = 60;

CommandResult ToCommandResult(const OwnershipMoveRequest& request,
                              const OwnershipMoveProgress& progress) {
  const std::string object = OwnershipObjectName(request.id);
  CommandResult result;
  result.json["object"] = object;
  result.json["next_owner"] = request.next_owner;
  result.json["epoch"] = progress.epoch;
  result.json["waits_for"] = progress.waiting_for;
  if (progress.phase == OwnershipMovePhase::kDone) {
    result.json["phase"] = "done";
    result.text = absl::StrCat(object, " is owned by ", request.next_owner,
                               ", epoch ", progress.epoch, "\n");
    return result;
  }
  if (progress.phase == OwnershipMovePhase::kConflict) {
    result = FailedResult(progress.last_error);
    result.code = ExitCode::kConflict;
    return result;
  }
  // The draining state may already be stored; running the command again
  // continues the move.
  const bool draining = progress.phase == OwnershipMovePhase::kDraining;
  result.code = ExitCode::kUnknown;
  result.json["phase"] = draining ? "draining" : "starting";
  result.text = absl::StrCat(
      object, draining ? " is draining" : " may have been marked as draining",
      progress.waiting_for.empty()
          ? ""
          : "; it waits for " + absl::StrJoin(progress.waiting_for, ", "),
      "\nrun the same command again to continue the move\n");
  if (!progress.last_error.ok()) {
    const CommandResult failed = FailedResult(progress.last_error);
    result.text += failed.text;
    result.json["error"] = failed.json.at("error");
  }
  return result;
}

/// The arguments specific to `ownership move`.
struct MoveArguments {
  explicit MoveArguments(TCLAP::CmdLine& line)
      : object("object", "workspace.NAME or engine.NAME", true, "", "OBJECT",
               line),
        next_owner("", "to", "the deployment that becomes the owner", true, "",
                   "HALF", line),
        next_address(
            "", "address",
            "the URL for callers of that deployment (default: from --settings)",
            false, "", "URL", line),
        default_owner("", "default-owner",
                      "the owner of everything without an ownership object "
                      "(default: from --settings)",
                      false, "", "HALF", line),
        gone("", "gone",
             "a host that is known to be permanently gone, so that the move "
             "does not wait for it",
             false, "HOST", line),
        wait_s("", "wait-s",
               "how long to wait for hosts to drain (default: 60)", false,
               kDefaultWaitS, "SECONDS", line) {}

  TCLAP::UnlabeledValueArg<std::string> object;
  TCLAP::ValueArg<std::string> next_owner;
  TCLAP::ValueArg<std::string> next_address;
  TCLAP::ValueArg<std::string> default_owner;
  TCLAP::MultiArg<std::string> gone;
  TCLAP::ValueArg<int> wait_s;
};

std::string AddressOf(const std::optional<DeploymentSettings>& deployment,
                      const std::string& name) {
  if (deployment.has_value()) {
    for (const DeploymentAddress& address : deployment->addresses) {
      if (address.half == name) {
        return address.url;
      }
    }
  }
  return "";
}

class OwnershipMoveInvocation final : public Invocation {
 public:
  OwnershipMoveInvocation(TCLAP::CmdLine& line, const Clock& clock,
                          NonceSource& operations)
      : arguments(line), clock(clock), operations(operations) {}

  CommandResult Run(const RunContext& context) override {
    const std::optional<OwnedId> id =
        ParseOwnershipObjectName(this->arguments.object.getValue());
    if (!id.has_value()) {
      return UsageResult("OBJECT is neither workspace.NAME nor engine.NAME");
    }
    const OwnershipMoverSettings settings =
        this->SettingsOf(context.deployment);
    if (settings.default_owner.empty()) {
      return UsageResult(
          "the default owner is not given: use --default-owner or --settings");
    }
    OwnershipMoveRequest request = {*id, this->arguments.next_owner.getValue(),
                                    this->arguments.next_address.getValue(),
                                    this->operations.Next(),
                                    this->arguments.gone.getValue()};
    if (request.next_address.empty()) {
      request.next_address = AddressOf(context.deployment, request.next_owner);
    }
    return ToCommandResult(request,
                           this->Move(request, settings, context.platform));
  }

 private:
  OwnershipMoverSettings SettingsOf(
      const std::optional<DeploymentSettings>& deployment) {
    OwnershipMoverSettings settings;
    settings.default_owner = this->arguments.default_owner.getValue();
    if (settings.default_owner.empty() && deployment.has_value()) {
      settings.default_owner = deployment->default_owner;
    }
    settings.default_address = AddressOf(deployment, settings.default_owner);
    return settings;
  }

  OwnershipMoveProgress Move(const OwnershipMoveRequest& request,
                             const OwnershipMoverSettings& settings,
                             Platform& platform) {
    OwnershipMover mover(request, settings, platform.Store());
    const std::int64_t end_ms =
        this->clock.MonotonicMs() +
        std::int64_t{this->arguments.wait_s.getValue()} * kSecondMs;
    while (mover.Progress().phase != OwnershipMovePhase::kDone &&
           mover.Progress().phase != OwnershipMovePhase::kConflict &&
           this->clock.MonotonicMs() < end_ms) {
      mover.Tick();
      platform.Pause(kTickMs);
    }
    return mover.Progress();
  }

  MoveArguments arguments;
  const Clock& clock;
  NonceSource& operations;
};

class OwnershipMoveCommand final : public PlatformCommand {
 public:
  OwnershipMoveCommand(PlatformConnector& connector, const Clock& clock,
                       NonceSource& operations)
      : PlatformCommand(
            connector,
            {"ownership move",
             "moves a workspace or an engine to another deployment",
             "Moves ownership in steps: the owner accepts no new work, its "
             "hosts finish running\nwork, and only then does the next "
             "deployment become the owner. If the command is\ninterrupted at "
             "any step, run it again to continue; running two at once is safe.",
             {"meadowthread ownership move workspace.makati --to west "
              "--settings entry-1.yaml",
              "meadowthread ownership move engine.engine-3 --to west "
              "--address https://west.example --default-owner east "
              "--object-api http://127.0.0.1:9000"}}),
        clock(clock),
        operations(operations) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) override {
    return std::make_unique<OwnershipMoveInvocation>(line, this->clock,
                                                     this->operations);
  }

 private:
  const Clock& clock;
  NonceSource& operations;
};

}  // namespace

std::unique_ptr<Command> MakeOwnershipMoveCommand(PlatformConnector& connector,
                                                  const Clock& clock,
                                                  NonceSource& operations) {
  return std::make_unique<OwnershipMoveCommand>(connector, clock, operations);
}

}  // namespace meadowthread
