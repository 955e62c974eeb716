#ifndef MEADOWTHREAD_GATEWAY_SERVICE_DIRECTORY_H_
#define MEADOWTHREAD_GATEWAY_SERVICE_DIRECTORY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "configuration/workspace_service.h"

namespace meadowthread {

/// @brief What the configuration in force serves to whom.
class ServiceDirectory {
 public:
  virtual ~ServiceDirectory() = default;

  /// @brief The workspace of a caller's key.
  /// @param[in] key_sha256 lower-case hexadecimal
  virtual std::optional<std::string> WorkspaceOf(
      std::string_view key_sha256) const = 0;

  /// @brief What a workspace is served under a model's name, or null.
  virtual const WorkspaceService* Find(std::string_view workspace,
                                       std::string_view model) const = 0;

  /// @brief Everything that a workspace is served.
  virtual std::vector<const WorkspaceService*> ServicesOf(
      std::string_view workspace) const = 0;
};

/// @brief Whether this host may take new work.
class WorkGate {
 public:
  virtual ~WorkGate() = default;

  /// @brief OK, or why this host takes nothing new (not run).
  virtual absl::Status MayTakeWork() const = 0;

  /// @brief OK, or why this half does not serve the workspace (not run).
  virtual absl::Status MayServe(std::string_view workspace) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SERVICE_DIRECTORY_H_
