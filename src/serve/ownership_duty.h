#ifndef MEADOWTHREAD_SERVE_OWNERSHIP_DUTY_H_
#define MEADOWTHREAD_SERVE_OWNERSHIP_DUTY_H_

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

/// @brief Keeps this host to what its half of the migration owns, and tells
/// movers through its status object what it has drained.
///
/// Where the settings name no other half, everything is this half's.
class OwnershipDuty {
 public:
  /// @param[in] clock,scheduler,store,view outlive the duty
  OwnershipDuty(const Settings& settings, std::int64_t incarnation,
                const Clock& clock, Scheduler& scheduler, ObjectStore& store,
                ReplicatedView& view);

  /// @brief Writes the status object and goes on keeping it.
  void Start();

  /// @brief Removes the status object; `done` is called once, in any case.
  void Leave(const std::function<void()>& done);

  /// @brief Counts a piece of work of a workspace in, or says why not.
  absl::Status BeginWork(std::string_view workspace);
  void EndWork(std::string_view workspace);

  /// @brief Whether new work may be sent to an engine.
  bool MayUseEngine(std::string_view engine) const;

  const OwnershipView& View() const { return this->ownership; }

 private:
  void Follow(const ViewChange& change);
  void Tick();
  void TakeConfirmation();
  void WriteStatus(const std::string& report);
  void OnWritten(const absl::StatusOr<std::int64_t>& version,
                 const std::string& report);
  void ReadVersion();
  void OnRead(const absl::StatusOr<StoredObject>& object);
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

#endif  // MEADOWTHREAD_SERVE_OWNERSHIP_DUTY_H_
