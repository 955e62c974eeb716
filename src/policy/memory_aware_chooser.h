#ifndef MEADOWTHREAD_POLICY_MEMORY_AWARE_CHOOSER_H_
#define MEADOWTHREAD_POLICY_MEMORY_AWARE_CHOOSER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/chooser.h"

namespace meadowthread {

/// @brief What a deployment minds most. Greater weights of stall and
/// preemption together mean less of both, for more time in queues; their sum
/// is usually four.
struct PolicyWeights {
  double stall = 2.0;       ///< time in which a begun output stands still
  double preemption = 2.0;  ///< outputs put aside by their engine
  double token_gap = 1.0;   ///< time between tokens
};

/// @brief What MemoryAwareChooser may be set to.
struct MemoryAwareOptions {
  PolicyWeights weights;
  double max_risk = 0.13;        ///< for work that is not urgent
  double urgent_room = 0.05;     ///< part of the memory kept for urgent work
  double urgent_fullness = 2.0;  ///< cost of a full engine to urgent work
  double shared_room = 0.15;     ///< part kept on engines others prefer
  double prefix_bonus = 0.05;    ///< cost taken off where the prefix may be
  int sample = 12;               ///< engines looked at in a big fleet
  int look_at_all_up_to = 32;    ///< fleets this small are looked at whole
};

/// @brief Sends work only where the engine's memory will likely hold all that
/// is on it until it ends, judged by learnt lengths; else says so.
class MemoryAwareChooser final : public EngineChooser {
 public:
  explicit MemoryAwareChooser(MemoryAwareOptions options = {});

  /// @complexity O(sample), whatever the number of engines
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "memory_aware"; }

 private:
  struct Scored {
    EngineIndex engine = 0;
    double cost = 0.0;
    double overfill = 0.0;
    double risk = 0.0;
    int in_flight = 0;
    bool prefix_hint = false;
    bool fits = false;
  };

  std::vector<EngineIndex> Sample(const WorkItem& work, const FleetState& fleet,
                                  std::uint64_t random) const;
  Scored Score(const WorkItem& work, const FleetState& fleet,
               EngineIndex engine, const MemoryForecast& added,
               std::int64_t now_ms) const;
  double RoomFor(const WorkItem& work, const FleetState& fleet,
                 EngineIndex engine, std::int64_t now_ms) const;
  Decision Explain(const WorkItem& work, const FleetState& fleet,
                   std::vector<Scored>& scored, std::uint64_t random) const;

  MemoryAwareOptions options;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_MEMORY_AWARE_CHOOSER_H_
