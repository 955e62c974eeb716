#include "relay/store_absence.h"

#include <algorithm>

namespace meadowthread {

bool StoreAbsence::NoteSign(std::int64_t now_ms) {
  const bool was_away =
      this->sign_ms.has_value() && now_ms - *this->sign_ms >= kAwayMs;
  this->sign_ms = now_ms;
  if (was_away) {
    this->back_ms = now_ms;
  }
  return was_away;
}

bool StoreAbsence::NoteAnswer(std::int64_t now_ms) {
  const bool goes_on =
      this->answer_ms.has_value() && now_ms - *this->answer_ms < kAwayMs;
  if (!goes_on) {
    this->answering_since = now_ms;
  }
  this->answer_ms = now_ms;
  return this->NoteSign(now_ms);
}

void StoreAbsence::NoteAnsweredFor(std::int64_t for_ms, std::int64_t now_ms) {
  if (this->back_ms.has_value()) {
    this->back_ms = std::min(*this->back_ms, now_ms - for_ms);
  }
}

std::optional<std::int64_t> StoreAbsence::AnsweredForMs(
    std::int64_t now_ms) const {
  const bool goes_on =
      this->answer_ms.has_value() && now_ms - *this->answer_ms < kAwayMs;
  return goes_on ? std::optional(now_ms - *this->answering_since)
                 : std::nullopt;
}

std::int64_t StoreAbsence::LapsesUntilMs() const {
  return this->back_ms.has_value() ? *this->back_ms + kRelistMs : 0;
}

std::optional<std::int64_t> StoreAbsence::BackForMs(std::int64_t now_ms) const {
  return this->back_ms.has_value() ? std::optional(now_ms - *this->back_ms)
                                   : std::nullopt;
}

}  // namespace meadowthread
