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

/// @brief "I saw this draining version, and nothing is in flight."
struct DrainConfirmation {
  std::string object;  ///< the ownership object's name
  /// Of the draining object. Not the epoch: a move that was called off and
  /// started again has the epoch of the first.
  std::int64_t version = 0;

  friend bool operator==(const DrainConfirmation&,
                         const DrainConfirmation&) = default;
};

/// @brief The part `ownership` of a host's status object.
struct DrainReport {
  std::string half;
  std::vector<DrainConfirmation> drained;

  friend bool operator==(const DrainReport&, const DrainReport&) = default;
};

/// @brief The report as JSON text, to stand as `ownership` in `status/{host}`.
std::string EncodeDrainReport(const DrainReport& report);

/// @brief Reads the report out of a whole status object.
absl::StatusOr<DrainReport> ParseDrainReport(std::string_view status_text);

/// @brief Counts a host's work in flight for each workspace and engine.
class DrainTracker {
 public:
  /// @param[in] over outlives the tracker
  explicit DrainTracker(const OwnershipView& over) : view(over) {}

  /// @brief Checks that work may start and counts it, in one step, so that no
  /// confirmation can come between the two.
  absl::Status Begin(const OwnedId& id);

  /// @brief A piece of work that Begin let in has ended for good.
  void End(const OwnedId& id);

  /// @brief What the host may tell a mover now.
  DrainReport Report() const;

 private:
  const OwnershipView& view;
  std::map<OwnedId, std::int64_t> in_flight;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_DRAIN_TRACKER_H_
