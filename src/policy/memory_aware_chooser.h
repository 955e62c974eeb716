#ifndef MEADOWTHREAD_POLICY_MEMORY_AWARE_CHOOSER_H_
#define MEADOWTHREAD_POLICY_MEMORY_AWARE_CHOOSER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/chooser.h"

namespace meadowthread {

/// @brief Weights of the effects that a deployment wants to avoid. Greater
/// weights of stalls and preemptions reduce both, but make work wait longer in
/// the queue. The two usually add up to four.
struct PolicyWeights {
  double stall = 2.0;  ///< time for which a started output makes no progress
  double preemption = 2.0;  ///< outputs preempted by their engine
  double token_gap = 1.0;   ///< time between tokens
};

/// @brief Options of MemoryAwareChooser.
struct MemoryAwareOptions {
  PolicyWeights weights;
  double max_risk = 0.13;  ///< weighted risk of stalls and preemptions that is
                           ///< accepted for work that is not urgent
  /// Fraction of the memory reserved for urgent work.
  double urgent_room = 0.05;
  /// Cost that a completely full engine adds for urgent work.
  double urgent_fullness = 2.0;
  /// Fraction of the memory reserved on engines that other hosts prefer.
  double shared_room = 0.15;
  /// Cost reduction if the engine may have the prefix cached.
  double prefix_bonus = 0.05;
  int sample = 12;  ///< engines drawn at random in a large fleet
  /// Fleets of up to this size are examined completely.
  int full_scan_limit = 32;
};

/// @brief Sends work only to engines whose memory will probably hold all their
/// streams until these end, according to the learned output lengths. If there
/// is no such engine, the decision names none.
class MemoryAwareChooser final : public EngineChooser {
 public:
  explicit MemoryAwareChooser(MemoryAwareOptions options = {});

  /// @complexity O(sample), independent of the number of engines
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "memory_aware"; }

 private:
  struct ScoredEngine {
    EngineIndex engine = 0;
    double cost = 0.0;
    double overfill = 0.0;
    double risk = 0.0;
    int in_flight = 0;
    bool prefix_hint = false;
    bool fits = false;
  };

  std::vector<EngineIndex> SampleEngines(const WorkItem& work,
                                         const FleetState& fleet,
                                         std::uint64_t random) const;
  ScoredEngine Score(const WorkItem& work, const FleetState& fleet,
                     EngineIndex engine, const MemoryForecast& added,
                     std::int64_t now_ms) const;
  double UsableTokens(const WorkItem& work, const FleetState& fleet,
                      EngineIndex engine, std::int64_t now_ms) const;
  Decision Pick(const WorkItem& work, const FleetState& fleet,
                std::vector<ScoredEngine>& scored, std::uint64_t random) const;

  MemoryAwareOptions options;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_MEMORY_AWARE_CHOOSER_H_
