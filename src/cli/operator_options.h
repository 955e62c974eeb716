#ifndef MEADOWTHREAD_CLI_OPERATOR_OPTIONS_H_
#define MEADOWTHREAD_CLI_OPERATOR_OPTIONS_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "cli/platform.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief The arguments of commands that speak to the platform:
/// `--object-api`, `--host-list`, `--settings` and `--timeout-ms`.
class PlatformOptions {
 public:
  explicit PlatformOptions(TCLAP::CmdLine& line);

  /// @brief Where the platform is, from the arguments, else from the settings
  /// file, else from the environment.
  /// @return kFieldMissing where none of them says, kSettingsInvalid
  absl::StatusOr<PlatformAddress> Address();

  /// @brief The halves that the settings file tells of, once Address was
  /// called; nothing without such a file.
  const std::optional<DeploymentSettings>& Half() const { return this->half; }

 private:
  TCLAP::ValueArg<std::string> object_api;
  TCLAP::ValueArg<std::string> host_list;
  TCLAP::ValueArg<std::string> settings;
  TCLAP::ValueArg<int> timeout_ms;
  std::optional<DeploymentSettings> half;
};

/// @brief The argument `--author` of commands that change something.
class AuthorOption {
 public:
  explicit AuthorOption(TCLAP::CmdLine& line);

  /// @brief Who changes: the argument, else the environment's USER.
  /// @return kFieldMissing where neither says
  absl::StatusOr<std::string> Author();

 private:
  TCLAP::ValueArg<std::string> argument;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_OPERATOR_OPTIONS_H_
