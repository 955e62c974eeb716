#include "fake_engine.h"

#include <algorithm>
#include <utility>

namespace meadowthread::bench {
namespace {

bool GoesBefore(const Job& a, const Job& b) {
  return a.priority != b.priority ? a.priority < b.priority : a.order < b.order;
}

std::int64_t Held(const Job& job) { return job.prompt + job.generated; }

}  // namespace

FakeEngine::FakeEngine(const EngineShape& shape, EngineListener& listener)
    : shape(shape), listener(listener) {}

bool FakeEngine::Submit(Job job) {
  if (this->waiting.size() >= this->shape.max_waiting) {
    return false;
  }
  job.order = ++this->orders;
  this->Enqueue(job);
  return true;
}

void FakeEngine::Enqueue(const Job& job) {
  const auto at = std::upper_bound(this->waiting.begin(), this->waiting.end(),
                                   job, GoesBefore);
  this->waiting.insert(at, job);
}

std::optional<std::int64_t> FakeEngine::BeginStep(std::int64_t now_us) {
  this->Admit(now_us);
  this->MakeRoom();
  if (this->running.empty()) {
    return std::nullopt;
  }
  const auto prefilled = static_cast<double>(this->Prefill());
  const auto batch = static_cast<double>(this->running.size());
  return static_cast<std::int64_t>(this->shape.step_base_us +
                                   this->shape.step_each_us * batch +
                                   this->shape.prefill_us * prefilled);
}

void FakeEngine::Admit(std::int64_t now_us) {
  while (!this->waiting.empty()) {
    Job job = this->waiting.front();
    const bool begun = job.generated > 0;
    if (!begun && job.deadline_us > 0 && job.deadline_us <= now_us) {
      this->waiting.pop_front();
      this->listener.OnDropped(job, now_us);
      continue;
    }
    const std::int64_t free = this->shape.kv_capacity - this->kv_used;
    const std::int64_t margin =
        this->running.empty() ? 0 : this->shape.kv_watermark;
    if (this->running.size() >= this->shape.max_batch ||
        Held(job) + 1 + margin > free) {
      return;
    }
    this->waiting.pop_front();
    const bool cached = this->LookUpPrefix(job.prefix);
    job.prefill_left = Held(job) - (cached ? job.prefix_tokens : 0);
    this->kv_used += Held(job);
    this->running.push_back(job);
  }
}

void FakeEngine::MakeRoom() {
  const auto decoding = [this] {
    return std::count_if(this->running.begin(), this->running.end(),
                         [](const Job& job) { return job.prefill_left <= 0; });
  };
  while (this->kv_used + decoding() > this->shape.kv_capacity) {
    this->PreemptOne();
  }
}

void FakeEngine::PreemptOne() {
  const auto victim =
      std::max_element(this->running.begin(), this->running.end(), GoesBefore);
  Job job = *victim;
  this->running.erase(victim);
  this->kv_used -= Held(job);
  ++this->preemptions;
  this->listener.OnPreempted(job);
  this->Enqueue(job);
}

std::int64_t FakeEngine::Prefill() {
  std::int64_t budget = this->shape.prefill_chunk;
  for (Job& job : this->running) {
    if (job.prefill_left > 0) {
      const std::int64_t part = std::min(budget, job.prefill_left);
      job.prefill_left -= part;
      budget -= part;
    }
  }
  return this->shape.prefill_chunk - budget;
}

void FakeEngine::EndStep(std::int64_t now_us) {
  std::size_t kept = 0;
  for (std::size_t i = 0; i < this->running.size(); ++i) {
    Job& job = this->running[i];
    if (job.prefill_left <= 0 && this->kv_used < this->shape.kv_capacity) {
      ++job.generated;
      ++this->kv_used;
      ++this->emitted;
      this->listener.OnToken(job, now_us);
    }
    if (job.generated >= job.length) {
      this->kv_used -= Held(job);
      this->listener.OnEnd(job, now_us);
    } else {
      this->running[kept++] = job;
    }
  }
  this->running.resize(kept);
}

void FakeEngine::Lose(std::int64_t now_us) {
  const std::vector<Job> lost_running = std::exchange(this->running, {});
  const std::deque<Job> lost_waiting = std::exchange(this->waiting, {});
  this->kv_used = 0;
  this->prefixes.clear();
  for (const Job& job : lost_running) {
    this->listener.OnDropped(job, now_us);
  }
  for (const Job& job : lost_waiting) {
    this->listener.OnDropped(job, now_us);
  }
}

bool FakeEngine::LookUpPrefix(std::uint64_t prefix) {
  if (prefix == 0) {
    return false;
  }
  const auto found =
      std::find(this->prefixes.begin(), this->prefixes.end(), prefix);
  const bool cached = found != this->prefixes.end();
  if (cached) {
    this->prefixes.erase(found);
  } else {
    this->listener.OnCache(prefix, true);
  }
  this->prefixes.push_back(prefix);
  if (this->prefixes.size() > this->shape.cached_prefixes) {
    this->listener.OnCache(this->prefixes.front(), false);
    this->prefixes.pop_front();
  }
  return cached;
}

}  // namespace meadowthread::bench
