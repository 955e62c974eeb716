#ifndef MEADOWTHREAD_RELAY_EVENT_SEQUENCE_H_
#define MEADOWTHREAD_RELAY_EVENT_SEQUENCE_H_

#include <cstdint>
#include <optional>

namespace meadowthread {

/// @brief Position of a received event relative to the events before it.
enum class EventPosition {
  kNext,      ///< follows the last event, or has no id
  kRepeated,  ///< was received before
  kAfterGap,  ///< the engine that resumed the run left out events
};

/// @brief Tracks the ids of a stream's events over all engines that run it.
///
/// Ids only have to rise: an engine may count its events, or the tokens in
/// them. Within one connection no event can be lost, so only the ids at which
/// a resumed run goes on are checked for a gap.
class EventSequence {
 public:
  /// @brief Called before the events of another attempt arrive.
  void BeginAttempt();

  /// @brief Adds a received event.
  /// @param[in] id negative: the event has none
  EventPosition Add(std::int64_t id);

  /// @brief The highest id received so far; -1: none.
  std::int64_t LastId() const { return this->last_id; }

 private:
  void ObserveStep(std::int64_t step);
  bool HasGap() const;

  std::int64_t last_id = -1;
  /// Id of the event before in the same attempt, if any.
  std::optional<std::int64_t> previous_id;
  /// Difference of ids at which the run was resumed; 0: not resumed.
  std::int64_t resume_step = 0;
  /// Difference of ids within attempts, as long as all are equal.
  std::optional<std::int64_t> regular_step;
  bool is_irregular = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_EVENT_SEQUENCE_H_
