#include "cli/change_command.h"

#include <memory>
#include <optional>

#include "absl/strings/str_cat.h"
#include "cli/entry_hosts.h"

namespace meadowthread {
namespace {

/// A change always completes on its own; this limit on the number of waits only
/// guards against a bug that keeps it from completing.
constexpr int kMaxWaits = 20;

std::string DescribeOutcome(const ChangeResult& end) {
  switch (end.outcome) {
    case ChangeOutcome::kAccepted:
      return absl::StrCat(end.message, " as version ", end.version);
    case ChangeOutcome::kUnchanged:
      return absl::StrCat("unchanged: ", end.message, " as version ",
                          end.version);
    case ChangeOutcome::kConflict:
      return absl::StrCat("conflict: ", end.message);
    case ChangeOutcome::kInvalid:
      return absl::StrCat("invalid: ", end.message);
    case ChangeOutcome::kNotApplied:
      return absl::StrCat("not applied: ", end.message);
    case ChangeOutcome::kUnknown:
      break;
  }
  return absl::StrCat("unknown: ", end.message);
}

}  // namespace

OperationOption::OperationOption(TCLAP::CmdLine& line)
    : argument(
          "", "operation",
          "the id of an earlier change whose result was unknown; repeating it "
          "never applies the change twice (default: a new id)",
          false, "", "ID", line) {}

std::string OperationOption::Operation(NonceSource& operations) {
  return this->argument.isSet() ? this->argument.getValue() : operations.Next();
}

ChangeResult AwaitChange(Platform& platform, const StartChange& start) {
  // Shared with the callback, which may still run after this function has timed
  // out.
  auto end = std::make_shared<std::optional<ChangeResult>>();
  OperatorChanges changes(platform.Store(), platform.Tasks());
  start(changes, [end](const ChangeResult& result) { *end = result; });
  for (int waits = 0; waits < kMaxWaits && !end->has_value(); ++waits) {
    platform.Wait([end] { return end->has_value(); });
  }
  if (end->has_value()) {
    return **end;
  }
  ChangeResult unknown;
  unknown.message = "the change did not complete within the time limit";
  return unknown;
}

ExitCode ExitCodeOf(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return ExitCode::kOk;
    case ChangeOutcome::kUnchanged:
      return ExitCode::kUnchanged;
    case ChangeOutcome::kConflict:
      return ExitCode::kConflict;
    case ChangeOutcome::kInvalid:
      return ExitCode::kInvalid;
    case ChangeOutcome::kNotApplied:
      return ExitCode::kUnavailable;
    case ChangeOutcome::kUnknown:
      break;
  }
  return ExitCode::kUnknown;
}

CommandResult ReportChange(Platform& platform, const ChangeResult& end,
                           std::string_view what, std::string_view operation) {
  CommandResult result;
  result.code = ExitCodeOf(end.outcome);
  result.json["result"] = std::string(ChangeOutcomeName(end.outcome));
  result.json["version"] = end.version;
  result.json["operation"] = std::string(operation);
  result.json["message"] = end.message;
  result.json["superseded"] = end.superseded;
  result.json["may_have_been_in_force"] = end.may_have_been_in_force;
  result.json["difference"] = end.difference;
  result.text = absl::StrCat(std::string(what), ": ", DescribeOutcome(end),
                             "\n", end.difference);
  if (end.may_have_been_in_force) {
    result.text += "your change may have been in force before it\n";
  }
  if (end.outcome == ChangeOutcome::kUnknown) {
    absl::StrAppend(&result.text, "--operation ", std::string(operation), "\n");
  }
  if (end.outcome == ChangeOutcome::kAccepted) {
    const PushReport pushed = PushToEntryHosts(platform, end.object);
    result.json["offered"] = pushed.Json();
    result.text += pushed.Text();
  }
  return result;
}

}  // namespace meadowthread
