#include "answer/stream_assembler.h"

#include <utility>

namespace meadowthread {
namespace {

// How far tokens may overtake each other before the missing one counts as
// lost. Small, since the caller waits meanwhile.
constexpr std::size_t kMaxHeld = 16;

}  // namespace

AssemblerVerdict StreamAssembler::OnStarted(std::string_view started) {
  if (started.empty()) {
    return AssemblerVerdict::kForeign;
  }
  if (!this->IsPinned()) {
    this->generation = std::string(started);
    return AssemblerVerdict::kGoOn;
  }
  return this->generation == started ? AssemblerVerdict::kGoOn
                                     : AssemblerVerdict::kForeign;
}

AssemblerVerdict StreamAssembler::OnToken(const TokenEvent& token) {
  if (!this->IsPinned() || token.generation != this->generation) {
    return AssemblerVerdict::kForeign;
  }
  if (token.index < this->next_index) {
    return AssemblerVerdict::kGoOn;
  }
  if (token.index > this->next_index) {
    this->held.emplace(token.index, token);
    return this->held.size() > kMaxHeld ? this->ReadOn()
                                        : AssemblerVerdict::kGoOn;
  }
  this->ready.push_back(token);
  ++this->next_index;
  this->MoveHeld();
  return this->IsComplete() ? AssemblerVerdict::kComplete
                            : AssemblerVerdict::kDeliver;
}

void StreamAssembler::MoveHeld() {
  auto first = this->held.begin();
  while (first != this->held.end() && first->first <= this->next_index) {
    if (first->first == this->next_index) {
      this->ready.push_back(std::move(first->second));
      ++this->next_index;
    }
    first = this->held.erase(first);
  }
}

AssemblerVerdict StreamAssembler::OnFinished(const GenerationFinish& finish) {
  if (!this->IsPinned() || finish.generation != this->generation) {
    return AssemblerVerdict::kForeign;
  }
  // An end that lies before what was delivered, or a second one that says
  // otherwise, can't belong to this generation.
  const bool contradicts = finish.count < this->next_index ||
                           (this->total >= 0 && this->total != finish.count);
  if (contradicts) {
    return AssemblerVerdict::kForeign;
  }
  this->total = finish.count;
  this->finish_reason = finish.reason;
  return this->IsComplete() ? AssemblerVerdict::kComplete : this->ReadOn();
}

// What is held comes again. Kept, it would count against the next connection,
// on which a single token out of order would then pass for a lost one.
AssemblerVerdict StreamAssembler::ReadOn() {
  this->held.clear();
  return AssemblerVerdict::kResume;
}

std::vector<TokenEvent> StreamAssembler::TakeReady() {
  return std::exchange(this->ready, {});
}

bool StreamAssembler::IsComplete() const {
  return this->total >= 0 && this->next_index == this->total;
}

}  // namespace meadowthread
