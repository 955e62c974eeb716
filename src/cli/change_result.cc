#include "cli/change_result.h"

#include "absl/strings/str_cat.h"
#include "cli/entry_hosts.h"

namespace meadowthread {
namespace {

std::string SentenceOf(const ChangeEnd& end) {
  const std::int64_t version = end.object.version;
  switch (end.outcome) {
    case ChangeOutcome::kAccepted:
      return absl::StrCat("accepted as version ", version);
    case ChangeOutcome::kUnchanged:
      return absl::StrCat("unchanged: version ", version,
                          " says the same already");
    case ChangeOutcome::kConflict:
      return version == 0 ? "not applied: there is no such object now"
                          : absl::StrCat("not applied: version ", version,
                                         " stands, which another change put");
    case ChangeOutcome::kUnknown:
      return "unknown: it may have taken effect, or may yet; the same command "
             "again finds out";
    case ChangeOutcome::kUnavailable:
      break;
  }
  return "not applied: the object API did not take it";
}

}  // namespace

ExitCode ExitCodeOf(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return ExitCode::kOk;
    case ChangeOutcome::kUnchanged:
      return ExitCode::kUnchanged;
    case ChangeOutcome::kConflict:
      return ExitCode::kConflict;
    case ChangeOutcome::kUnknown:
      return ExitCode::kUnknown;
    case ChangeOutcome::kUnavailable:
      break;
  }
  return ExitCode::kUnavailable;
}

CommandResult TellChange(Platform& platform, const ChangeEnd& end,
                         std::string_view what, std::string_view conflict) {
  CommandResult result;
  if (!end.error.ok()) {
    result = FailedResult(end.error);
  }
  const std::string cause = result.text;
  result.code = ExitCodeOf(end.outcome);
  result.json["kind"] = end.object.kind;
  result.json["name"] = end.object.name;
  result.json["version"] = end.object.version;
  result.text = absl::StrCat(std::string(what), ": ", SentenceOf(end), "\n");
  if (end.outcome == ChangeOutcome::kAccepted) {
    const OfferReport offered = OfferToAll(platform, end.object);
    result.json["offered"] = offered.Json();
    result.text += offered.Text();
  } else if (end.outcome == ChangeOutcome::kConflict) {
    result.json["standing"] = std::string(conflict);
    result.text += std::string(conflict);
  } else {
    result.text += cause;
  }
  return result;
}

}  // namespace meadowthread
