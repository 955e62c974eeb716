#ifndef MEADOWTHREAD_GATEWAY_WORK_GATE_H_
#define MEADOWTHREAD_GATEWAY_WORK_GATE_H_

#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief Whether this host may take new work.
class WorkGate {
 public:
  virtual ~WorkGate() = default;

  /// @brief OK, or why this host takes nothing new (not run).
  virtual absl::Status MayTakeWork() const = 0;

  /// @brief Counts a piece of work in, or says why this half does not serve
  /// the workspace (not run); one step, so that no hand-over comes between.
  virtual absl::Status BeginWork(std::string_view workspace) = 0;

  /// @brief A piece of work that BeginWork let in has ended.
  virtual void EndWork(std::string_view workspace) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_WORK_GATE_H_
