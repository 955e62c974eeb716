#include "engine/engine_model.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread::standins {
namespace {

// Limits the steps made up for after a pause: a process that was frozen has
// computed nothing in the meantime.
constexpr double kMaxCatchUpMs = 1000;

}  // namespace

bool EngineModel::HigherPriorityFirst::operator()(const Generation* a,
                                                  const Generation* b) const {
  if (a->spec.priority != b->spec.priority) {
    return a->spec.priority < b->spec.priority;
  }
  return a->arrival < b->arrival;
}

EngineModel::EngineModel(const EngineLimits& limits, std::string_view name,
                         std::string_view incarnation)
    : limits(limits),
      name(name),
      incarnation(incarnation),
      prefixes(limits.cached_prefixes) {}

// 1. calls by clients

Generation* EngineModel::Start(const GenerationSpec& spec,
                               std::int64_t now_ms) {
  const auto queue = static_cast<std::int64_t>(this->waiting.size());
  const bool too_large = spec.prompt_tokens + 1 > this->limits.kv_capacity;
  if (queue >= this->limits.longest_queue || too_large) {
    return nullptr;
  }
  if (this->waiting.empty() && this->running.empty()) {
    this->next_step_ms =
        std::max(this->next_step_ms, static_cast<double>(now_ms));
  }
  auto generation = std::make_unique<Generation>();
  generation->id =
      absl::StrCat(this->name, "-", this->incarnation, "-", ++this->starts);
  generation->spec = spec;
  generation->arrival = this->starts;
  generation->started_ms = now_ms;
  Generation* added = generation.get();
  this->by_id[added->id] = added;
  this->waiting.insert(added);
  this->generations.push_back(std::move(generation));
  return added;
}

Generation* EngineModel::Find(std::string_view id, std::int64_t now_ms) {
  const auto found = this->by_id.find(std::string(id));
  if (found == this->by_id.end()) {
    return nullptr;
  }
  Generation* generation = found->second;
  const bool readable =
      generation->state == GenerationState::kFinished &&
      now_ms - generation->ended_ms <= generation->spec.orphan_timeout_ms;
  return generation->IsActive() || readable ? generation : nullptr;
}

bool EngineModel::Cancel(std::string_view id, std::int64_t now_ms) {
  const auto found = this->by_id.find(std::string(id));
  if (found == this->by_id.end() || !found->second->IsActive()) {
    return false;
  }
  this->End(found->second, GenerationState::kCancelled, now_ms);
  return true;
}

void EngineModel::SetRead(Generation* generation, bool is_read,
                          std::int64_t now_ms) {
  generation->unread_since_ms = is_read ? -1 : now_ms;
}

// 2. time

int EngineModel::Advance(std::int64_t now_ms) {
  const auto now = static_cast<double>(now_ms);
  this->next_step_ms = std::max(this->next_step_ms, now - kMaxCatchUpMs);
  int steps = 0;
  while (this->next_step_ms <= now &&
         !(this->waiting.empty() && this->running.empty())) {
    this->Step(static_cast<std::int64_t>(this->next_step_ms));
    this->next_step_ms += this->StepMs();
    ++steps;
  }
  return steps;
}

void EngineModel::Restart(std::string_view new_incarnation,
                          std::int64_t now_ms) {
  const std::vector<Generation*> lost = [this] {
    std::vector<Generation*> active(this->waiting.begin(), this->waiting.end());
    active.insert(active.end(), this->running.begin(), this->running.end());
    return active;
  }();
  for (Generation* generation : lost) {
    this->Lose(generation, "restarted", now_ms);
  }
  this->by_id.clear();
  this->incarnation = new_incarnation;
  this->starts = 0;
  this->prefixes.Clear();
}

// 3. state

EngineLoad EngineModel::Load() const {
  EngineLoad load;
  load.running = static_cast<std::int64_t>(this->running.size());
  load.waiting = static_cast<std::int64_t>(this->waiting.size());
  load.kv_used = this->kv_used;
  load.kv_capacity = this->limits.kv_capacity;
  load.preemptions = this->preemptions;
  return load;
}

// 4. phases of a step

double EngineModel::StepMs() const {
  const auto batch = static_cast<double>(this->running.size());
  return this->limits.token_ms * (1.0 + this->limits.slowdown * batch);
}

void EngineModel::Step(std::int64_t now_ms) {
  this->EndOrphans(now_ms);
  this->EndPastDeadline(now_ms);
  this->Admit(now_ms);
  this->PreemptForMemory(now_ms);
  this->Decode(now_ms);
}

void EngineModel::EndOrphans(std::int64_t now_ms) {
  const auto is_orphan = [now_ms](const Generation* generation) {
    return generation->unread_since_ms >= 0 &&
           now_ms - generation->unread_since_ms >=
               generation->spec.orphan_timeout_ms;
  };
  std::vector<Generation*> orphans;
  std::copy_if(this->running.begin(), this->running.end(),
               std::back_inserter(orphans), is_orphan);
  std::copy_if(this->waiting.begin(), this->waiting.end(),
               std::back_inserter(orphans), is_orphan);
  for (Generation* generation : orphans) {
    this->End(generation, GenerationState::kOrphaned, now_ms);
  }
}

void EngineModel::EndPastDeadline(std::int64_t now_ms) {
  std::vector<Generation*> late;
  for (Generation* generation : this->waiting) {
    const std::int64_t deadline_ms = generation->spec.deadline_ms;
    if (deadline_ms > 0 && deadline_ms <= now_ms &&
        generation->generated == 0) {
      late.push_back(generation);
    }
  }
  for (Generation* generation : late) {
    this->Lose(generation, "deadline", now_ms);
  }
}

void EngineModel::Admit(std::int64_t now_ms) {
  while (!this->waiting.empty()) {
    Generation* head = *this->waiting.begin();
    // Strict order: a generation that would fit doesn't overtake the head of
    // the queue unless its priority is higher.
    if (!this->MakeRoomFor(*head)) {
      return;
    }
    this->Run(head, now_ms);
  }
}

bool EngineModel::MakeRoomFor(const Generation& generation) {
  std::int64_t room = this->limits.kv_capacity - this->kv_used -
                      this->StepNeed() - this->Need(generation) - 1;
  auto slots = this->limits.largest_batch -
               static_cast<std::int64_t>(this->running.size());
  std::vector<Generation*> victims = this->running;
  std::erase_if(victims, [&generation](const Generation* victim) {
    return victim->spec.priority <= generation.spec.priority;
  });
  std::sort(victims.begin(), victims.end(), HigherPriorityFirst());
  // Preempt only if that frees enough memory and batch slots.
  std::size_t count = 0;
  while ((room < 0 || slots < 1) && count < victims.size()) {
    ++count;
    room += victims[victims.size() - count]->kv_held + 1;
    ++slots;
  }
  if (room < 0 || slots < 1) {
    return false;
  }
  for (std::size_t index = 1; index <= count; ++index) {
    this->Preempt(victims[victims.size() - index]);
  }
  return true;
}

void EngineModel::PreemptForMemory(std::int64_t now_ms) {
  while (this->kv_used + this->StepNeed() > this->limits.kv_capacity) {
    Generation* victim = this->LowestPriorityRunning();
    if (this->running.size() == 1) {
      this->Lose(victim, "memory", now_ms);
    } else {
      this->Preempt(victim);
    }
  }
}

void EngineModel::Decode(std::int64_t now_ms) {
  std::vector<Generation*> finished;
  for (Generation* generation : this->running) {
    if (generation->recompute_steps > 0) {
      --generation->recompute_steps;
      continue;
    }
    ++generation->generated;
    ++generation->kv_held;
    ++this->kv_used;
    if (generation->generated >= generation->spec.length) {
      finished.push_back(generation);
    }
  }
  for (Generation* generation : finished) {
    this->End(generation, GenerationState::kFinished, now_ms);
  }
}

// 5. state transitions

std::int64_t EngineModel::Need(const Generation& generation) const {
  return generation.spec.prompt_tokens + generation.generated;
}

std::int64_t EngineModel::StepNeed() const {
  return std::count_if(
      this->running.begin(), this->running.end(),
      [](const Generation* one) { return one->recompute_steps == 0; });
}

Generation* EngineModel::LowestPriorityRunning() const {
  return *std::max_element(this->running.begin(), this->running.end(),
                           HigherPriorityFirst());
}

void EngineModel::Preempt(Generation* generation) {
  this->Release(generation);
  generation->state = GenerationState::kWaiting;
  ++generation->preemptions;
  ++this->preemptions;
  this->waiting.insert(generation);
}

void EngineModel::Run(Generation* generation, std::int64_t now_ms) {
  this->waiting.erase(generation);
  generation->state = GenerationState::kRunning;
  generation->kv_held = this->Need(*generation);
  this->kv_used += generation->kv_held;
  const bool cached = this->prefixes.Use(generation->spec.prefix, now_ms);
  const std::int64_t work =
      generation->generated + (cached ? 0 : generation->spec.prompt_tokens);
  generation->recompute_steps = work / this->limits.prefill_tokens;
  this->running.push_back(generation);
}

void EngineModel::Release(Generation* generation) {
  this->waiting.erase(generation);
  std::erase(this->running, generation);
  this->kv_used -= generation->kv_held;
  generation->kv_held = 0;
}

void EngineModel::End(Generation* generation, GenerationState state,
                      std::int64_t now_ms) {
  this->Release(generation);
  generation->state = state;
  generation->ended_ms = now_ms;
}

void EngineModel::Lose(Generation* generation, std::string_view reason,
                       std::int64_t now_ms) {
  this->End(generation, GenerationState::kLost, now_ms);
  generation->lost_reason = reason;
}

}  // namespace meadowthread::standins
