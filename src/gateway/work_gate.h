#ifndef MEADOWTHREAD_GATEWAY_WORK_GATE_H_
#define MEADOWTHREAD_GATEWAY_WORK_GATE_H_

#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief Decides whether this host may accept new work, and counts running
/// work.
class WorkGate {
 public:
  virtual ~WorkGate() = default;

  /// @brief Returns OK, or the reason why this host accepts no new work (with
  /// Outcome::kNotRun).
  virtual absl::Status MayTakeWork() const = 0;

  /// @brief Registers a piece of work, or returns the reason why this
  /// deployment does not serve the workspace (with Outcome::kNotRun). Check and
  /// registration are one step, so that the workspace can't move to the other
  /// deployment in between.
  virtual absl::Status BeginWork(std::string_view workspace) = 0;

  /// @brief Reports the end of a piece of work that BeginWork accepted.
  virtual void EndWork(std::string_view workspace) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_WORK_GATE_H_
