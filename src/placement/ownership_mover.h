#ifndef MEADOWTHREAD_PLACEMENT_OWNERSHIP_MOVER_H_
#define MEADOWTHREAD_PLACEMENT_OWNERSHIP_MOVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "placement/ownership.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief The kind of hosts' status objects at the object API.
inline constexpr std::string_view kStatusKind = "status";

/// @brief What is to be handed to which half.
struct MoveRequest {
  OwnedId id;
  std::string next_owner;
  std::string next_address;
  std::string operation;          ///< names the move in the object
  std::vector<std::string> gone;  ///< hosts an operator vouches are dead
};

/// @brief Bounds that a mover counts with.
struct MoverSettings {
  std::string default_owner;  ///< of what has no object, as on the hosts
  std::string default_address;
  std::int64_t freshness_ms = 4'000;     ///< F, as on the hosts
  std::int64_t drift_margin_ms = 500;    ///< between clocks, over F
  std::int64_t gone_after_ms = 120'000;  ///< a status unchanged so long
};

/// @brief How far a move has come.
enum class MovePhase { kStarting, kDraining, kDone, kConflict };

/// @brief The phase, and what it waits for.
struct MoveProgress {
  MovePhase phase = MovePhase::kStarting;
  std::int64_t epoch = 0;
  std::vector<std::string> waiting_for;  ///< hosts not yet drained
  absl::Status last_error;  ///< of the last call, or why there is a conflict
};

/// @brief Carries one move, a step at a time.
///
/// All state is in the object: a mover that crashed at any step is replaced by
/// a new one with the same request, and two at once do no harm. A lost answer
/// needs no settling of its own, as every step begins by reading.
class OwnershipMover {
 public:
  /// @param[in] over,by outlive the mover
  OwnershipMover(const MoveRequest& what, const MoverSettings& with,
                 ObjectStore& over, const Clock& by);

  /// @brief Takes the next step, unless one is in progress.
  void Tick();

  const MoveProgress& Progress() const { return this->progress; }

 private:
  /// A status object's version, and since when we have seen it.
  struct StatusSight {
    std::int64_t version = 0;
    std::int64_t since_ms = 0;
  };

  void OnObject(const absl::StatusOr<StoredObject>& answer);
  void OnDocument(const OwnershipDocument& document, std::int64_t version);
  void Mark(const OwnershipDocument& from, std::int64_t version);
  void OnDraining(const OwnershipDocument& document, std::int64_t version);
  void OnStatuses(const OwnershipDocument& document, std::int64_t version,
                  const absl::StatusOr<ObjectList>& list);
  bool IsDrained(const StoredObject& status, std::string_view half,
                 std::int64_t version);
  bool IsGone(const StoredObject& status);
  void Flip(const OwnershipDocument& from, std::int64_t version);
  void Put(const OwnershipDocument& document, std::int64_t version);
  void Conflict(std::string_view why);

  MoveRequest request;
  MoverSettings settings;
  ObjectStore& store;
  const Clock& clock;
  std::string object_name;
  MoveProgress progress;
  std::int64_t draining_version = 0;
  std::int64_t draining_seen_ms = 0;
  std::map<std::string, StatusSight> sights;
  bool busy = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_OWNERSHIP_MOVER_H_
