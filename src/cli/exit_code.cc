#include "cli/exit_code.h"

#include <array>

#include "base/error.h"

namespace meadowthread {
namespace {

constexpr std::array<ExitCodeHelp, 9> kExitCodes = {{
    {ExitCode::kOk, "ok", "done; a change was accepted"},
    {ExitCode::kFailed, "failed", "failed for another reason"},
    {ExitCode::kUsage, "usage",
     "the command line is wrong; nothing was attempted"},
    {ExitCode::kInvalid, "invalid",
     "the document is not valid; nothing was attempted"},
    {ExitCode::kConflict, "conflict",
     "another change came first; yours was not applied"},
    {ExitCode::kUnknown, "unknown",
     "the change may have taken effect or may still do so"},
    {ExitCode::kUnavailable, "unavailable",
     "the platform did not answer; nothing was applied"},
    {ExitCode::kNotFound, "not_found", "the named object does not exist"},
    {ExitCode::kUnchanged, "unchanged",
     "the requested state is already in place"},
}};

}  // namespace

std::span<const ExitCodeHelp> AllExitCodes() { return kExitCodes; }

std::string_view ExitCodeName(ExitCode code) {
  return kExitCodes.at(static_cast<std::size_t>(code)).name;
}

ExitCode ExitCodeOf(const absl::Status& status) {
  if (status.ok()) {
    return ExitCode::kOk;
  }
  switch (DetailOf(status).id) {
    case ErrorId::kSettingsInvalid:
    case ErrorId::kTemplateInvalid:
    case ErrorId::kFieldInvalid:
    case ErrorId::kFieldMissing:
      return ExitCode::kInvalid;
    case ErrorId::kStoreConflict:
    case ErrorId::kTemplateConflict:
      return ExitCode::kConflict;
    case ErrorId::kStoreUnknown:
      return ExitCode::kUnknown;
    case ErrorId::kStoreUnavailable:
    case ErrorId::kConnectFailed:
    case ErrorId::kConnectionLost:
    case ErrorId::kPeerTimeout:
      return ExitCode::kUnavailable;
    case ErrorId::kNotFound:
      return ExitCode::kNotFound;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace meadowthread
