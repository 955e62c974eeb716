#include "permits/in_flight_limit.h"

#include <algorithm>

namespace meadowthread {
namespace {

// A call whose end was not reported by then is no longer counted: its host is
// gone, or the message was lost. Calls take less time than this.
constexpr std::int64_t kLostEndMs = 2'000;

}  // namespace

bool InFlightLimit::MayStart(std::int64_t now_ms, std::int64_t raise_after_ms) {
  this->DropLost(now_ms);
  if (!this->limit.has_value() || this->InFlight() < *this->limit) {
    return true;
  }
  if (now_ms - this->changed_ms < raise_after_ms) {
    return false;
  }
  ++*this->limit;
  this->changed_ms = now_ms;
  return this->InFlight() < *this->limit;
}

// Which call has ended does not matter, only how many are in flight. The oldest
// is taken, so that the count of those that were lost is dropped last.
void InFlightLimit::NoteEnded() {
  if (!this->started_ms.empty()) {
    this->started_ms.pop_front();
  }
}

void InFlightLimit::NoteRejected(std::int64_t now_ms) {
  this->DropLost(now_ms);
  const std::size_t held =
      std::max<std::size_t>(1, std::max<std::size_t>(1, this->InFlight()) - 1);
  this->limit = std::min(held, this->limit.value_or(held));
  this->changed_ms = now_ms;
}

void InFlightLimit::DropLost(std::int64_t now_ms) {
  while (!this->started_ms.empty() &&
         now_ms - this->started_ms.front() >= kLostEndMs) {
    this->started_ms.pop_front();
  }
}

}  // namespace meadowthread
