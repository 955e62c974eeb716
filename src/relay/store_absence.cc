#include "relay/store_absence.h"

#include <algorithm>

namespace meadowthread {
namespace {

bool AreContiguous(const StoreStretch& one, const StoreStretch& other) {
  const std::int64_t gap_ms =
      std::max(one.from_ms, other.from_ms) - std::min(one.to_ms, other.to_ms);
  return gap_ms < StoreAbsence::kOutageMs;
}

// Intervals that are too close for an outage between them become one: what one
// host could not read, another one did. Otherwise the later one counts.
StoreStretch Merged(const StoreStretch& one, const StoreStretch& other) {
  if (AreContiguous(one, other)) {
    return {std::min(one.from_ms, other.from_ms),
            std::max(one.to_ms, other.to_ms)};
  }
  return one.to_ms > other.to_ms ? one : other;
}

}  // namespace

void StoreAbsence::NoteAnswer(std::int64_t now_ms) {
  const StoreStretch answer = {now_ms, now_ms};
  this->own = this->own.has_value() ? Merged(*this->own, answer) : answer;
}

void StoreAbsence::NoteWord(const StoreStretch& uptime) {
  this->from_peers =
      this->from_peers.has_value() ? Merged(*this->from_peers, uptime) : uptime;
}

std::int64_t StoreAbsence::GraceEndsMs(std::int64_t vanished_ms,
                                       std::int64_t now_ms) const {
  std::optional<StoreStretch> known = this->own;
  if (this->from_peers.has_value()) {
    known = known.has_value() ? Merged(*known, *this->from_peers)
                              : *this->from_peers;
  }
  const bool is_up =
      known.has_value() && AreContiguous(*known, {now_ms, now_ms});
  return is_up ? std::min(known->from_ms, vanished_ms) + kRelistMs
               : vanished_ms + kUnknownMs;
}

}  // namespace meadowthread
