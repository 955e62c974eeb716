#ifndef MEADOWTHREAD_PLACEMENT_OWNERSHIP_MOVER_H_
#define MEADOWTHREAD_PLACEMENT_OWNERSHIP_MOVER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/lifetime.h"
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

/// @brief What a missing object means, as on the hosts.
struct MoverSettings {
  std::string default_owner;
  std::string default_address;
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
  /// @param[in] over outlives the mover
  OwnershipMover(const MoveRequest& what, const MoverSettings& with,
                 ObjectStore& over);

  /// @brief Takes the next step, unless one is in progress.
  void Tick();

  const MoveProgress& Progress() const { return this->progress; }

 private:
  void OnObject(const absl::StatusOr<StoredObject>& answer);
  void OnDocument(const OwnershipDocument& document, std::int64_t version);
  void Mark(const OwnershipDocument& from, std::int64_t version);
  void OnDraining(const OwnershipDocument& document, std::int64_t version);
  void OnStatuses(const OwnershipDocument& document, std::int64_t version,
                  const absl::StatusOr<ObjectList>& list);
  bool IsDrained(const StoredObject& status, std::string_view half,
                 std::int64_t version) const;
  bool IsGone(std::string_view host) const;
  void Flip(const OwnershipDocument& from, std::int64_t version);
  void Put(const OwnershipDocument& document, std::int64_t version);
  void Conflict(std::string_view why);

  MoveRequest request;
  MoverSettings settings;
  ObjectStore& store;
  std::string object_name;
  MoveProgress progress;
  bool busy = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_OWNERSHIP_MOVER_H_
