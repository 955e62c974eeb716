#ifndef MEADOWTHREAD_CLI_OPERATOR_OPTIONS_H_
#define MEADOWTHREAD_CLI_OPERATOR_OPTIONS_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "cli/platform.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief The options of commands that contact the platform:
/// `--object-api`, `--host-list`, `--settings` and `--timeout-ms`.
class PlatformOptions {
 public:
  explicit PlatformOptions(TCLAP::CmdLine& line);

  /// @brief The platform's address, from the arguments, then the settings file,
  /// then the environment.
  /// @return kFieldMissing if none of them gives it, or kSettingsInvalid
  absl::StatusOr<PlatformAddress> Address();

  /// @brief The deployments named in the settings file; valid after Address was
  /// called, empty without a settings file.
  const std::optional<DeploymentSettings>& Deployment() const {
    return this->deployment;
  }

 private:
  TCLAP::ValueArg<std::string> object_api;
  TCLAP::ValueArg<std::string> host_list;
  TCLAP::ValueArg<std::string> settings;
  TCLAP::ValueArg<int> timeout_ms;
  std::optional<DeploymentSettings> deployment;
};

/// @brief The option `--author` of commands that change an object.
class AuthorOption {
 public:
  explicit AuthorOption(TCLAP::CmdLine& line);

  /// @brief The author of the change: the argument, or the environment variable
  /// USER.
  /// @return kFieldMissing if neither is set
  absl::StatusOr<std::string> Author();

 private:
  TCLAP::ValueArg<std::string> argument;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_OPERATOR_OPTIONS_H_
