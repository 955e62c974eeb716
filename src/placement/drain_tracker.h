#ifndef MEADOWTHREAD_PLACEMENT_DRAIN_TRACKER_H_
#define MEADOWTHREAD_PLACEMENT_DRAIN_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "placement/ownership_view.h"

namespace meadowthread {

/// @brief States that the host has seen this draining version of an ownership
/// object and has no work of its workspace or engine in flight.
struct DrainConfirmation {
  std::string object;  ///< the ownership object's name
  /// The object's version. Its epoch would be ambiguous: a move that is
  /// cancelled and started again has the same epoch as the first attempt.
  std::int64_t version = 0;

  friend bool operator==(const DrainConfirmation&,
                         const DrainConfirmation&) = default;
};

/// @brief The field `ownership` of a host's status object.
struct DrainReport {
  std::string deployment;  ///< the host's deployment; `half` in JSON
  std::vector<DrainConfirmation> drained;

  friend bool operator==(const DrainReport&, const DrainReport&) = default;
};

/// @brief The report as JSON, the value of `ownership` in `status/{host}`.
std::string EncodeDrainReport(const DrainReport& report);

/// @brief Reads the report from a complete status object.
absl::StatusOr<DrainReport> ParseDrainReport(std::string_view status_text);

/// @brief Counts a host's work in flight for each workspace and engine, to tell
/// when a workspace or engine that is moving to another deployment has no work
/// left.
class DrainTracker {
 public:
  /// @param[in] view outlives the tracker
  explicit DrainTracker(const OwnershipView& view) : view(view) {}

  /// @brief Checks that work may start and counts it. Both happen in one step,
  /// so that Report cannot confirm a drain between the check and the count.
  /// @return OK, or the error of OwnershipView::MayStart
  absl::Status Begin(const OwnedId& id);

  /// @brief Ends a piece of work that Begin admitted.
  void End(const OwnedId& id);

  /// @brief The draining workspaces and engines without work in flight.
  DrainReport Report() const;

 private:
  const OwnershipView& view;
  std::map<OwnedId, std::int64_t> in_flight;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_DRAIN_TRACKER_H_
