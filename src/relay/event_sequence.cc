#include "relay/event_sequence.h"

#include <utility>

namespace meadowthread {

void EventSequence::BeginAttempt() {
  this->previous_id.reset();
  this->resume_step = 0;
}

// A run that is resumed after its first event has no known step yet. The step
// of its next engine then shows a gap one event later, before the stream can
// end as complete.
EventPosition EventSequence::Add(std::int64_t id) {
  if (id < 0) {
    return EventPosition::kNext;
  }
  const std::optional<std::int64_t> before =
      std::exchange(this->previous_id, id);
  if (before.has_value() && id > *before) {
    this->ObserveStep(id - *before);
  }
  if (id <= this->last_id) {
    return EventPosition::kRepeated;
  }
  if (!before.has_value() && this->last_id >= 0) {
    this->resume_step = id - this->last_id;
  }
  this->last_id = id;
  return this->HasGap() ? EventPosition::kAfterGap : EventPosition::kNext;
}

void EventSequence::ObserveStep(std::int64_t step) {
  this->is_irregular =
      this->is_irregular || this->regular_step.value_or(step) != step;
  this->regular_step = step;
}

bool EventSequence::HasGap() const {
  return !this->is_irregular && this->regular_step.has_value() &&
         this->resume_step > *this->regular_step;
}

}  // namespace meadowthread
