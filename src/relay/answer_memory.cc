#include "relay/answer_memory.h"

#include <algorithm>

namespace meadowthread {

AppendResult HeldAnswer::Append(std::string_view bytes,
                                std::size_t limit_bytes) {
  if (this->body.size() + bytes.size() > limit_bytes) {
    return AppendResult::kTooLong;
  }
  if (!this->memory.Reserve(*this, bytes.size())) {
    return AppendResult::kNoMemory;
  }
  this->body.append(bytes);
  return AppendResult::kAppended;
}

std::string HeldAnswer::Take() {
  this->memory.Release(*this, this->body.size());
  return std::exchange(this->body, {});
}

void HeldAnswer::Clear() { this->Take(); }

// Each dropped answer was the longest one, so few have to be dropped.
bool AnswerMemory::Reserve(HeldAnswer& answer, std::size_t bytes) {
  while (this->held_bytes + bytes > this->limit_bytes) {
    HeldAnswer* const longest = this->Longest();
    if (longest == nullptr || longest->Size() <= answer.Size() + bytes) {
      return false;
    }
    longest->Clear();
    longest->dropped();
  }
  this->held_bytes += bytes;
  this->answers.insert(&answer);
  return true;
}

void AnswerMemory::Release(HeldAnswer& answer, std::size_t bytes) {
  this->held_bytes -= bytes;
  this->answers.erase(&answer);
}

HeldAnswer* AnswerMemory::Longest() const {
  const auto longest =
      std::max_element(this->answers.begin(), this->answers.end(),
                       [](const HeldAnswer* left, const HeldAnswer* right) {
                         return left->Size() < right->Size();
                       });
  return longest == this->answers.end() ? nullptr : *longest;
}

}  // namespace meadowthread
