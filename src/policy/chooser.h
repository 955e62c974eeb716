#ifndef MEADOWTHREAD_POLICY_CHOOSER_H_
#define MEADOWTHREAD_POLICY_CHOOSER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief Why an engine was chosen, or why none was.
enum class DecisionReason {
  kRoundRobin,   ///< next in round-robin order
  kLeastLoad,    ///< least loaded of the engines considered
  kMemoryFits,   ///< least cost of the engines whose memory is expected to
                 ///< suffice
  kPrefixHint,   ///< as kMemoryFits, and the engine's cache may hold the
                 ///< prompt's prefix
  kNotServed,    ///< no engine has the model loaded
  kNoneUsable,   ///< every engine with the model is dead, leaving, stalled or
                 ///< excluded for this work, for instance by its region
  kNoneHasRoom,  ///< every engine would probably run out of memory or begin the
                 ///< work too late
};

/// @brief The reason's name in log lines.
std::string_view DecisionReasonName(DecisionReason reason);

/// @brief An engine that was considered for a piece of work.
struct Candidate {
  std::string engine;
  double cost = 0.0;  ///< lower is better
  /// With MemoryAwareChooser, the probability that the engine's memory
  /// overflows if the work is added; with PressureChooser, the fraction of the
  /// memory that is expected to be in use then.
  double overfill_chance = 0.0;
  int in_flight = 0;
  bool prefix_hint = false;
  /// Expected time from now to the first event; 0: not known.
  std::int64_t first_event_ms = 0;
  /// Age of the oldest load that a peer reported for the engine and that counts
  /// in the decision; -1: there is none.
  std::int64_t peer_load_age_ms = -1;
};

/// @brief The chosen engine, if any, and the reasons for the choice.
struct Decision {
  std::optional<std::string> engine;
  DecisionReason reason = DecisionReason::kNotServed;
  std::vector<Candidate> considered;  ///< the best few, best first
  std::int64_t retry_after_ms = 0;    ///< set if no engine was chosen
  int priority = 0;  ///< sent to the engine; 0 is the most urgent
  /// Prompt tokens that the engine prefills before this work's; -1: not known.
  std::int64_t prefill_ahead_tokens = -1;
  /// Without room: an engine would have room if one run of a peer there were
  /// over. The peer may know that it is, and its news be on its way.
  bool rests_on_peer_run = false;
};

/// @brief Chooses an engine for one piece of work. Does not change the fleet
/// state.
class EngineChooser {
 public:
  virtual ~EngineChooser() = default;

  /// @brief Chooses an engine.
  /// @param[in] random a fresh random number; the choice is deterministic for
  /// equal inputs
  virtual Decision Choose(const WorkItem& work, const FleetState& fleet,
                          std::int64_t now_ms, std::uint64_t random) = 0;

  /// @brief The chooser's name in tables and log lines.
  virtual std::string_view Name() const = 0;
};

namespace detail {

/// @brief The priority sent to engines if only the work's urgency counts.
int UrgencyPriority(Urgency urgency);

/// @brief A decision that names no engine.
Decision DecisionWithoutEngine(DecisionReason reason,
                               std::int64_t retry_after_ms);

/// @brief Sorts engines best first: those that fit before those that do not,
/// then by cost.
/// @return the number of leading engines that count as equal to the best one:
/// they fit if it fits, and cost at most `near_equal` more than it
/// @complexity O(n log n)
template <typename ScoredEngine>
std::size_t RankByCost(std::vector<ScoredEngine>& scored, double near_equal) {
  std::sort(scored.begin(), scored.end(),
            [](const ScoredEngine& a, const ScoredEngine& b) {
              return a.fits != b.fits ? a.fits : a.cost < b.cost;
            });
  std::size_t near_best = 0;
  while (near_best < scored.size() &&
         scored[near_best].fits == scored[0].fits &&
         scored[near_best].cost <= scored[0].cost + near_equal) {
    ++near_best;
  }
  return near_best;
}

/// @brief A decision with reason kNoneUsable, or kNotServed if no engine has
/// the work's model loaded.
Decision NoUsableEngine(const WorkItem& work, const FleetState& fleet);

}  // namespace detail

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_CHOOSER_H_
