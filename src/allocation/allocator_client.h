#ifndef MEADOWTHREAD_ALLOCATION_GROUP_ALLOCATION_H_
#define MEADOWTHREAD_ALLOCATION_GROUP_ALLOCATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/allocation_channel.h"
#include "allocation/engine_groups.h"
#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "policy/arrival_limits.h"
#include "policy/engine_allocation.h"
#include "policy/fleet_state.h"

namespace meadowthread {

/// @brief Who this host is.
struct AllocationSelf {
  std::string host;
  std::string zone;
};

/// @brief Asks the hosts that hand out places for an engine, one after the
/// other, and chooses by itself where none of them answers.
class GroupAllocation final : public EngineAllocation {
 public:
  /// @param[in] groups,fleet,local,channel,scheduler,clock outlive this
  GroupAllocation(AllocationSelf self, const EngineGroups& groups,
                  const FleetState& fleet, EngineAllocation& local,
                  AllocationChannel& channel, Scheduler& scheduler,
                  const Clock& clock);
  GroupAllocation(const GroupAllocation&) = delete;
  GroupAllocation& operator=(const GroupAllocation&) = delete;

  /// @brief Asks for no place at an engine that this host may not send to now.
  /// @param[in] with outlives this
  void SetArrivals(const ArrivalLimits& with) { this->arrivals = &with; }

  /// @brief Whether others are asked; if not, this host chooses by itself.
  void SetShared(bool is_shared) { this->is_shared = is_shared; }

  /// @brief Something came from a host.
  void NoteHeard(std::string_view host);

  void TakeAnswer(const PlaceAnswer& answer);

  // EngineAllocation
  void Choose(const WorkItem& work, const Chosen& chosen) override;
  bool IsShared() const override { return this->is_shared; }
  void AskMove(const MoveAsk& move, const Chosen& granted) override;
  void MoveOver(const MoveAsk& move) override;

 private:
  struct Pending {
    PlaceAsk ask;
    Chosen chosen;
    std::vector<std::string> hosts;
    std::size_t asked = 0;  ///< of them, the last one included
    int askings = 0;
    int refused_engines = 0;
    bool is_queued = false;
    std::int64_t begun_ms = 0;
  };
  struct OpenTurn {
    std::string host;
    std::uint64_t ticket = 0;
  };

  void Begin(PlaceAsk ask, const Chosen& chosen);
  void AskNext(std::uint64_t ticket);
  void AskAgain(std::uint64_t ticket);
  void OnTimeout(std::uint64_t ticket, int asking);
  void TakeChosen(std::uint64_t ticket, const PlaceAnswer& answer);
  void Finish(std::uint64_t ticket, const Decision& decision);
  void ChooseAlone(std::uint64_t ticket);
  void After(std::uint64_t ticket, std::int64_t delay_ms);
  std::vector<std::string> NotUsableHere() const;
  bool HasUsedItsPart(std::string_view engine) const;
  bool IsSuspect(const std::string& host) const;

  AllocationSelf self;
  const EngineGroups& groups;
  const FleetState& fleet;
  EngineAllocation& local;
  const ArrivalLimits* arrivals = nullptr;  ///< null: none are kept
  AllocationChannel& channel;
  Scheduler& scheduler;
  const Clock& clock;
  bool is_shared = false;
  std::uint64_t last_ticket = 0;
  std::map<std::uint64_t, Pending> pending;
  std::map<std::string, OpenTurn, std::less<>> open_turns;  ///< by request
  /// Hosts that did not answer, and until when they are not asked.
  std::map<std::string, std::int64_t, std::less<>> suspects;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_GROUP_ALLOCATION_H_
