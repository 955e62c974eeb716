#include "permits/in_flight_limit.h"

#include <algorithm>

namespace meadowthread {
namespace {

// A call whose end was not reported by then is no longer counted, as its host
// may be gone or the message lost. A call that takes longer is counted too
// short, which shows by a rejection.
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

void InFlightLimit::NoteRejected(std::int64_t now_ms) {
  this->DropLost(now_ms);
  if (this->started_ms.empty()) {
    return;
  }
  const std::size_t held = std::max<std::size_t>(1, this->InFlight() - 1);
  this->limit = std::min(held, this->limit.value_or(held));
  this->changed_ms = now_ms;
}

void InFlightLimit::DropLost(std::int64_t now_ms) {
  while (!this->started_ms.empty() &&
         now_ms - this->started_ms.begin()->second >= kLostEndMs) {
    this->started_ms.erase(this->started_ms.begin());
  }
}

}  // namespace meadowthread
