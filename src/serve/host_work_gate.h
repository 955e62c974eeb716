#ifndef MEADOWTHREAD_SERVE_HOST_WORK_GATE_H_
#define MEADOWTHREAD_SERVE_HOST_WORK_GATE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "configuration/marks.h"
#include "configuration/replicated_view.h"
#include "gateway/work_gate.h"
#include "hosts/host_directory.h"

namespace meadowthread {

/// @brief Dependencies and settings of the gate; all references outlive it.
struct HostWorkGateDependencies {
  std::string host;
  const Clock& clock;
  const ReplicatedView& view;
  const HostDirectory& hosts;
  std::int64_t stale_limit_ms = 5000;
  std::int64_t started_unix_ms = 0;  ///< start of this process
  /// Number of other entry hosts that answered their latest call.
  std::function<int()> peers_alive;
  /// Counts the start of a piece of work, or returns why this deployment does
  /// not serve the workspace.
  std::function<absl::Status(std::string_view workspace)> begin_work;
  /// Counts the end of a piece of work.
  std::function<void(std::string_view workspace)> end_work;
};

/// @brief Decides whether this host accepts new work, by its mark, the age of
/// its configuration and the ownership of workspaces.
class HostWorkGate final : public WorkGate {
 public:
  explicit HostWorkGate(const HostWorkGateDependencies& dependencies);

  absl::Status MayTakeWork() const override;
  absl::Status BeginWork(std::string_view workspace) override;
  void EndWork(std::string_view workspace) override;

  /// @brief Rejects all new work from now on, as a stop was requested.
  void Close() { this->closed = true; }
  bool IsClosed() const { return this->closed; }

  /// @brief This host's mark; if it is live, but the host list says that the
  /// host leaves, the mark is kLeaving.
  MarkDocument Mark() const;

  /// @brief Whether a host, either an entry host or an engine, is not to get
  /// new work, according to its mark, its zone's mark or the host list.
  bool IsMarked(std::string_view host) const;

  /// @brief Names of the entry hosts that may get work, including this one.
  std::vector<std::string> LiveEntryHosts() const;

  /// @brief Age in milliseconds of the kind that was confirmed least recently;
  /// -1 if any kind has never been confirmed.
  std::int64_t ViewAgeMs() const;

 private:
  bool IsInEmptiedZone(const HostEntry& entry) const;
  bool IsIsolated() const;
  bool HasCurrentConfiguration() const;

  HostWorkGateDependencies dependencies;
  Marks marks;
  Marks zones;
  bool closed = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_HOST_WORK_GATE_H_
