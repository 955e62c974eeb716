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

/// @brief The kind of the hosts' status objects in the object API.
inline constexpr std::string_view kStatusKind = "status";

/// @brief What to move, and to which deployment.
struct OwnershipMoveRequest {
  OwnedId id;
  std::string next_owner;
  std::string next_address;
  std::string operation;  ///< id of the move, written to the object
  /// Hosts that an operator declares permanently dead. The move does not wait
  /// for them.
  std::vector<std::string> dead_hosts;
};

/// @brief The owner of every workspace and engine without an ownership object;
/// must be the same as in the settings of the hosts.
struct OwnershipMoverSettings {
  std::string default_owner;
  std::string default_address;
};

/// @brief The phases of a move.
enum class OwnershipMovePhase {
  kStarting,  ///< state kDraining was not read back yet
  kDraining,  ///< waits for the owner's hosts to drain
  kDone,      ///< the next deployment is the owner
  kConflict   ///< ended: the object is invalid or was changed by someone else
};

/// @brief The phase of a move, and what it waits for.
struct OwnershipMoveProgress {
  OwnershipMovePhase phase = OwnershipMovePhase::kStarting;
  std::int64_t epoch = 0;
  std::vector<std::string> waiting_for;  ///< hosts not yet drained
  absl::Status last_error;  ///< of the last store call, or the conflict
};

/// @brief Moves a workspace or an engine to another deployment.
///
/// Marks the ownership object as draining, waits until every host of the owner
/// has confirmed that it has no work in flight, and then writes the new owner.
/// All state is in the object: after a crash at any step, a new mover with the
/// same request continues, and two movers at once do no harm. A lost answer
/// needs no special handling, as every step starts by reading the object.
class OwnershipMover {
 public:
  /// @param[in] store outlives the mover
  OwnershipMover(const OwnershipMoveRequest& request,
                 const OwnershipMoverSettings& settings, ObjectStore& store);

  /// @brief Starts the next step, unless one is in progress.
  void Tick();

  const OwnershipMoveProgress& Progress() const { return this->progress; }

 private:
  void OnObject(const absl::StatusOr<StoredObject>& answer);
  void OnDocument(const OwnershipDocument& document, std::int64_t version);
  void MarkDraining(const OwnershipDocument& from, std::int64_t version);
  void OnDraining(const OwnershipDocument& document, std::int64_t version);
  void OnStatuses(const OwnershipDocument& document, std::int64_t version,
                  const absl::StatusOr<ObjectList>& list);
  bool IsDrained(const StoredObject& status, std::string_view deployment,
                 std::int64_t version) const;
  bool IsDeclaredDead(std::string_view host) const;
  void ChangeOwner(const OwnershipDocument& from, std::int64_t version);
  void Put(const OwnershipDocument& document, std::int64_t version);
  void Conflict(std::string_view reason);

  OwnershipMoveRequest request;
  OwnershipMoverSettings settings;
  ObjectStore& store;
  std::string object_name;
  OwnershipMoveProgress progress;
  bool call_in_flight = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_OWNERSHIP_MOVER_H_
