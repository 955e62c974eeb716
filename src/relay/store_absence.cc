#include "relay/store_absence.h"

#include <algorithm>

namespace meadowthread {
namespace {

bool IsOneStretch(const StoreStretch& one, const StoreStretch& other) {
  const std::int64_t gap_ms =
      std::max(one.from_ms, other.from_ms) - std::min(one.to_ms, other.to_ms);
  return gap_ms < StoreAbsence::kAwayMs;
}

// What one host could not read, another did: together they know of no break.
StoreStretch Joined(const StoreStretch& one, const StoreStretch& other) {
  if (IsOneStretch(one, other)) {
    return {std::min(one.from_ms, other.from_ms),
            std::max(one.to_ms, other.to_ms)};
  }
  return one.to_ms > other.to_ms ? one : other;
}

}  // namespace

void StoreAbsence::NoteAnswer(std::int64_t now_ms) {
  const StoreStretch answer = {now_ms, now_ms};
  this->own = this->own.has_value() ? Joined(*this->own, answer) : answer;
}

void StoreAbsence::NoteWord(const StoreStretch& word) {
  this->told = this->told.has_value() ? Joined(*this->told, word) : word;
}

std::int64_t StoreAbsence::LapsesUntilMs(std::int64_t vanished_ms,
                                         std::int64_t now_ms) const {
  std::optional<StoreStretch> known = this->own;
  if (this->told.has_value()) {
    known = known.has_value() ? Joined(*known, *this->told) : *this->told;
  }
  const bool goes_on =
      known.has_value() && IsOneStretch(*known, {now_ms, now_ms});
  return goes_on ? std::min(known->from_ms, vanished_ms) + kRelistMs
                 : vanished_ms + kUnknownMs;
}

}  // namespace meadowthread
