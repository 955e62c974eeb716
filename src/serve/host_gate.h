#ifndef MEADOWTHREAD_SERVE_HOST_GATE_H_
#define MEADOWTHREAD_SERVE_HOST_GATE_H_

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

/// @brief What the gate looks at; all of it outlives the gate.
struct HostGateParts {
  std::string host;
  const Clock& clock;
  const ReplicatedView& view;
  const HostDirectory& hosts;
  std::int64_t stale_limit_ms = 5000;
  std::int64_t started_unix_ms = 0;  ///< of this process
  /// How many other entry hosts answered when last asked.
  std::function<int()> peers_alive;
  /// Counts work in, or says why this half does not serve the workspace.
  std::function<absl::Status(std::string_view workspace)> begin_work;
  std::function<void(std::string_view workspace)> end_work;
};

/// @brief Whether this host takes new work: marks, freshness, ownership.
class HostGate final : public WorkGate {
 public:
  explicit HostGate(const HostGateParts& parts);

  absl::Status MayTakeWork() const override;
  absl::Status BeginWork(std::string_view workspace) override;
  void EndWork(std::string_view workspace) override;

  /// @brief From now on nothing new is taken (a stop was asked for).
  void Close() { this->closed = true; }
  bool IsClosed() const { return this->closed; }

  /// @brief This host's mark, or leaving where the host list says so.
  MarkDocument Mark() const;

  /// @brief Whether any host, ours or an engine's, is not to get new work, by
  /// its mark or the host list.
  bool IsMarked(std::string_view host) const;

  /// @brief The entry hosts that may get work, by name; this one included.
  std::vector<std::string> LiveEntryHosts() const;

  /// @brief Milliseconds since the newest confirmed read of every kind; -1
  /// where some kind has never been confirmed.
  std::int64_t ViewAgeMs() const;

 private:
  bool IsInEmptiedZone(const HostEntry& entry) const;
  bool IsIsolated() const;
  bool HasLearnt() const;

  HostGateParts parts;
  Marks marks;
  Marks zones;
  bool closed = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_HOST_GATE_H_
