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
#include "policy/work.h"

namespace meadowthread {

/// @brief Why an engine was chosen, or none.
enum class DecisionReason {
  kTurn,         ///< its turn came
  kLeastLoad,    ///< least loaded of those looked at
  kMemoryFits,   ///< cheapest of those whose memory should hold
  kPrefixHint,   ///< as above, and its cache may hold the prompt's prefix
  kNotServed,    ///< no engine has the model loaded
  kNoneUsable,   ///< every engine that has it is dead, leaving or stalled
  kNoneHasRoom,  ///< sending now would likely overfill an engine's memory
};

/// @brief The reason's name in log lines.
std::string_view DecisionReasonName(DecisionReason reason);

/// @brief One engine that was looked at.
struct Candidate {
  std::string engine;
  double cost = 0.0;             ///< less is better
  double overfill_chance = 0.0;  ///< of its memory, with this work added
  int in_flight = 0;
  bool prefix_hint = false;
  std::int64_t first_event_ms = 0;  ///< expected from now; 0: not known
};

/// @brief A choice and its grounds.
struct Decision {
  std::optional<std::string> engine;
  DecisionReason reason = DecisionReason::kNotServed;
  std::vector<Candidate> considered;  ///< the best few, best first
  std::int64_t retry_after_ms = 0;    ///< where no engine was chosen
  int priority = 0;                   ///< for the engine; 0 is most urgent
  /// Prompt tokens that the engine reads before this work's; -1: not known.
  std::int64_t reading_ahead = -1;
};

/// @brief Chooses an engine for one piece of work; changes nothing.
class EngineChooser {
 public:
  virtual ~EngineChooser() = default;

  /// @param[in] random a fresh random number; same inputs, same choice
  virtual Decision Choose(const WorkItem& work, const FleetState& fleet,
                          std::int64_t now_ms, std::uint64_t random) = 0;

  /// @brief The name in tables and log lines.
  virtual std::string_view Name() const = 0;
};

namespace detail {

/// @brief The priority that tells engines only how urgent work is.
int PlainPriority(Urgency urgency);

/// @brief A decision without an engine.
Decision NoEngine(DecisionReason reason, std::int64_t retry_after_ms);

/// @brief Sorts what was scored, best first: what fits, then what costs less.
/// @return how many at the front are as good as the best within `near_equal`
/// @complexity O(n log n)
template <typename Scored>
std::size_t RankNear(std::vector<Scored>& scored, double near_equal) {
  std::sort(scored.begin(), scored.end(), [](const Scored& a, const Scored& b) {
    return a.fits != b.fits ? a.fits : a.cost < b.cost;
  });
  std::size_t near = 0;
  while (near < scored.size() && scored[near].fits == scored[0].fits &&
         scored[near].cost <= scored[0].cost + near_equal) {
    ++near;
  }
  return near;
}

/// @brief Sets NotServed or NoneUsable by what serves the work.
Decision NothingUsable(const WorkItem& work, const FleetState& fleet);

}  // namespace detail

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_CHOOSER_H_
