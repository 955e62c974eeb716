#include "answer/stream_assembler.h"

#include <utility>

namespace meadowthread {
namespace {

// If more tokens than this wait for a missing earlier token, that token counts
// as lost and the stream is resumed. The limit is small, as the caller gets no
// tokens in the meantime.
constexpr std::size_t kMaxOutOfOrder = 16;

}  // namespace

AssemblerAction StreamAssembler::OnStarted(std::string_view new_generation) {
  if (new_generation.empty()) {
    return AssemblerAction::kOtherGeneration;
  }
  if (!this->IsPinned()) {
    this->generation = std::string(new_generation);
    return AssemblerAction::kContinue;
  }
  return this->generation == new_generation ? AssemblerAction::kContinue
                                            : AssemblerAction::kOtherGeneration;
}

AssemblerAction StreamAssembler::OnToken(const TokenEvent& token) {
  if (!this->IsPinned() || token.generation != this->generation) {
    return AssemblerAction::kOtherGeneration;
  }
  if (token.index < this->next_index) {
    return AssemblerAction::kContinue;
  }
  if (token.index > this->next_index) {
    this->out_of_order.emplace(token.index, token);
    return this->out_of_order.size() > kMaxOutOfOrder
               ? this->RequestResume()
               : AssemblerAction::kContinue;
  }
  this->ready.push_back(token);
  ++this->next_index;
  this->MoveConsecutiveTokens();
  return this->IsComplete() ? AssemblerAction::kComplete
                            : AssemblerAction::kDeliver;
}

void StreamAssembler::MoveConsecutiveTokens() {
  auto first = this->out_of_order.begin();
  while (first != this->out_of_order.end() &&
         first->first <= this->next_index) {
    if (first->first == this->next_index) {
      this->ready.push_back(std::move(first->second));
      ++this->next_index;
    }
    first = this->out_of_order.erase(first);
  }
}

AssemblerAction StreamAssembler::OnFinished(const GenerationFinish& finish) {
  if (!this->IsPinned() || finish.generation != this->generation) {
    return AssemblerAction::kOtherGeneration;
  }
  // A finish event with fewer tokens than were delivered, or with a different
  // count than an earlier finish event, cannot belong to this generation.
  const bool contradicts =
      finish.count < this->next_index ||
      (this->total_tokens >= 0 && this->total_tokens != finish.count);
  if (contradicts) {
    return AssemblerAction::kOtherGeneration;
  }
  this->total_tokens = finish.count;
  this->finish_reason = finish.reason;
  return this->IsComplete() ? AssemblerAction::kComplete
                            : this->RequestResume();
}

// Drops the out-of-order tokens, as the resumed stream sends them again. If
// they were kept, they would count towards kMaxOutOfOrder on the next
// connection, where the first token out of order would then make the missing
// one count as lost.
AssemblerAction StreamAssembler::RequestResume() {
  this->out_of_order.clear();
  return AssemblerAction::kResume;
}

std::vector<TokenEvent> StreamAssembler::TakeReady() {
  return std::exchange(this->ready, {});
}

bool StreamAssembler::IsComplete() const {
  return this->total_tokens >= 0 && this->next_index == this->total_tokens;
}

}  // namespace meadowthread
