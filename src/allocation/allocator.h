#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATOR_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/allocation_messages.h"
#include "allocation/engine_groups.h"
#include "allocation/link_queues.h"
#include "base/clock.h"
#include "exchange/load_note.h"
#include "policy/arrival_limits.h"
#include "policy/fleet_state.h"
#include "policy/pressure_chooser.h"

namespace meadowthread {

/// @brief What an allocator says to a PlaceAsk.
struct AllocatorReply {
  PlaceAnswer answer;
  std::string pass_on_to;  ///< a group whose allocator answers instead
};

/// @brief A turn at a link that has come.
struct GrantedTurn {
  LinkTurn turn;
  PlaceAnswer answer;
};

/// @brief Hands out places at the engines of the groups that this host has.
///
/// Answers the load pattern "hundreds of hosts choose among the same engines":
/// whoever chooses by words that are two seconds old sends its stream behind
/// those of others. The allocator knows of each place the moment it is given.
/// It keeps nothing that its peers' words do not bring back: one that has just
/// started, or stood still, answers nothing until they have come.
class Allocator {
 public:
  /// @param[in] self this host's name
  /// @param[in] fleet,groups outlive this
  Allocator(std::string_view self, const PressureOptions& options,
            FleetState& fleet, const EngineGroups& groups);
  Allocator(const Allocator&) = delete;
  Allocator& operator=(const Allocator&) = delete;

  /// @brief Gives places only to hosts that may send something there.
  /// @param[in] with,clock outlive the allocator
  void SetArrivals(const ArrivalLimits& with, const Clock& clock) {
    this->arrivals = &with;
    this->arrivals_clock = &clock;
  }

  /// @brief Until then its picture of the engines is not whole.
  void SetTrustedFrom(std::int64_t from_ms) { this->trusted_from_ms = from_ms; }

  bool IsTrusted(std::int64_t now_ms) const {
    return now_ms >= this->trusted_from_ms;
  }

  AllocatorReply Answer(const PlaceAsk& ask, std::int64_t now_ms,
                        std::uint64_t random);

  /// @brief A run's copy is over.
  void TakeTurnOver(std::string_view host, const TurnOver& over) {
    this->turns.Over(over.engine, {std::string(host), over.ticket});
  }

  /// @brief Turns that have come since.
  std::vector<GrantedTurn> GrantTurns(std::int64_t now_ms,
                                      std::uint64_t random);

  /// @brief A host told of its work, which the fleet's state has taken: with
  /// it, of places that it was given.
  void NoteTold(std::string_view host, std::span<const EngineLoadNote> notes,
                std::int64_t now_ms);

  /// @brief Another group's allocator told of the pressure there.
  void TakePressure(const GroupPressure& pressure, std::int64_t now_ms) {
    this->pressures[pressure.group] = {pressure.cost, now_ms};
  }

  /// @brief The pressure in a group, for work as was placed there last; none
  /// where nothing was.
  std::optional<GroupPressure> PressureOf(std::string_view group,
                                          std::int64_t now_ms);

  /// @brief Forgets what is old.
  void DropOld(std::int64_t now_ms);

 private:
  struct Given {
    std::string host;
    std::string engine;
    std::string name;  ///< what the fleet's state knows it by
    std::int64_t given_ms = 0;
    std::int64_t before = 0;  ///< requests that the host had there then
  };
  struct ToldPressure {
    double cost = 0.0;
    std::int64_t told_ms = 0;
  };
  struct WaitingRun {
    PlaceAsk ask;
    std::int64_t asked_ms = 0;
  };

  bool HasPart(std::string_view host, std::string_view engine) const;
  Decision ChooseFor(const PlaceAsk& ask, std::int64_t now_ms,
                     std::uint64_t random);
  AllocatorReply AnswerMove(const PlaceAsk& ask, std::int64_t now_ms,
                            std::uint64_t random);
  PlaceAnswer GiveTarget(const PlaceAsk& ask, std::int64_t now_ms,
                         std::uint64_t random);
  std::string LighterGroup(const PlaceAsk& ask, const Decision& decision,
                           std::int64_t now_ms);
  void Give(const PlaceAsk& ask, const std::string& engine,
            std::int64_t now_ms);
  void Forget(const Given& given);
  std::int64_t RequestsOf(std::string_view host, std::string_view engine,
                          std::int64_t now_ms) const;

  std::string self;
  PressureOptions options;
  FleetState& fleet;
  const EngineGroups& groups;
  const ArrivalLimits* arrivals = nullptr;  ///< null: none are kept
  const Clock* arrivals_clock = nullptr;
  LinkTurns turns;
  std::deque<Given> given;
  std::map<std::string, ToldPressure, std::less<>> pressures;
  std::map<std::string, WorkItem, std::less<>> last_work;  ///< by group
  std::map<std::pair<std::string, std::uint64_t>, WaitingRun> waiting_runs;
  std::uint64_t last_given = 0;
  std::int64_t trusted_from_ms = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATOR_H_
