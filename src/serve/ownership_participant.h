#ifndef MEADOWTHREAD_SERVE_OWNERSHIP_PARTICIPANT_H_
#define MEADOWTHREAD_SERVE_OWNERSHIP_PARTICIPANT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "configuration/replicated_view.h"
#include "placement/drain_tracker.h"
#include "placement/ownership_view.h"
#include "settings/settings.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief Restricts this host to the workspaces and engines that its deployment
/// owns while ownership moves between two deployments. Reports what this host
/// has drained in a status object, which the movers (OwnershipMover) read.
///
/// If the settings name no other deployment, this one owns everything.
class OwnershipParticipant {
 public:
  /// @param[in] clock,scheduler,store,view outlive this
  OwnershipParticipant(const Settings& settings, std::int64_t incarnation,
                       const Clock& clock, Scheduler& scheduler,
                       ObjectStore& store, ReplicatedView& view);

  /// @brief Writes the status object and keeps it up to date from now on.
  void Start();

  /// @brief Removes the status object; calls `done` once, whether or not this
  /// succeeds.
  void Leave(const std::function<void()>& done);

  /// @brief Counts the start of a piece of work of a workspace, or returns why
  /// it may not start.
  absl::Status BeginWork(std::string_view workspace);
  void EndWork(std::string_view workspace);

  /// @brief Whether new work may be sent to an engine.
  bool MayUseEngine(std::string_view engine) const;

  const OwnershipView& View() const { return this->ownership; }

 private:
  void OnViewChange(const ViewChange& change);
  void Tick();
  void ApplyConfirmation();
  void WriteStatus(const std::string& report);
  void OnWritten(const absl::StatusOr<std::int64_t>& version,
                 const std::string& report);
  void ReadOwnStatus();
  void OnOwnStatusRead(const absl::StatusOr<StoredObject>& object);
  void Unregister();

  std::string host;
  bool has_other_deployment;
  std::int64_t incarnation;
  const Clock& clock;
  Scheduler& scheduler;
  ObjectStore& store;
  ReplicatedView& view;
  OwnershipView ownership;
  DrainTracker tracker;
  std::string written_report;
  std::int64_t status_version = 0;
  std::int64_t written_ms = 0;
  std::int64_t registered_wall_ms = 0;  ///< 0: not registered yet
  bool writing = false;
  bool leaving = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_OWNERSHIP_PARTICIPANT_H_
