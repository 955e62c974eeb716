#ifndef MEADOWTHREAD_POLICY_ENGINE_ALLOCATION_H_
#define MEADOWTHREAD_POLICY_ENGINE_ALLOCATION_H_

#include <functional>
#include <string>

#include "policy/chooser.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief A request to migrate a running generation ("run") off its engine.
struct MigrationRequest {
  std::string source;  ///< key of the engine that the run leaves
  WorkItem run;        ///< its prompt_tokens are the tokens of KV cache to copy
};

/// @brief Chooses engines for work, either on this host or by asking the host
/// that allocates the engines.
class EngineAllocation {
 public:
  using Chosen = std::function<void(const Decision& decision)>;

  virtual ~EngineAllocation() = default;

  /// @brief Chooses an engine for new work.
  /// @param[in] chosen called exactly once, possibly before this function
  /// returns
  virtual void Choose(const WorkItem& work, const Chosen& chosen) = 0;

  /// @brief Whether other hosts, the allocators, choose the engines and
  /// schedule the KV-cache copies. If not, this host queues work for which no
  /// engine has room, and hosts take turns at an engine's network link
  /// according to the loads that they report to each other.
  virtual bool IsShared() const = 0;

  /// @brief Requests a turn to copy the run's KV cache over the network link of
  /// its engine, and an engine to migrate it to. Call it only if IsShared.
  /// @param[in] granted called exactly once; its decision names no engine if
  /// there is none
  virtual void RequestMigration(const MigrationRequest& move,
                                const Chosen& granted) = 0;

  /// @brief Ends the migration's turn at the link, because its copy is done or
  /// will not be started. The next migration may begin.
  virtual void EndMigration(const MigrationRequest& move) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ENGINE_ALLOCATION_H_
