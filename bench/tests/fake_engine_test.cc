#include "fake_engine.h"

#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <random>

namespace meadowthread::bench {
namespace {

class Recorder final : public EngineListener {
 public:
  void OnToken(const Job& job, std::int64_t) override { ++tokens[job.id]; }
  void OnEnd(const Job& job, std::int64_t) override { ended[job.id] = true; }
  void OnPreempted(const Job&) override { ++preempted; }
  void OnDropped(const Job&, std::int64_t) override { ++dropped; }
  void OnCache(std::uint64_t, bool stored) override {
    stored ? ++this->stored : ++this->evicted;
  }
  std::map<std::uint32_t, std::int64_t> tokens;
  std::map<std::uint32_t, bool> ended;
  int preempted = 0;
  int dropped = 0;
  int stored = 0;
  int evicted = 0;
};

bool MemoryAddsUp(const FakeEngine& engine) {
  std::int64_t held = 0;
  for (const Job& job : engine.Running()) {
    held += job.prompt + job.generated;
  }
  return held == engine.KvUsed() && held <= engine.Shape().kv_capacity;
}

/// Runs until the engine has nothing to do, checking memory at every step.
std::int64_t RunDry(FakeEngine& engine, std::int64_t now_us) {
  while (const auto step = engine.BeginStep(now_us)) {
    now_us += *step;
    engine.EndStep(now_us);
    cr_assert(MemoryAddsUp(engine));
  }
  return now_us;
}

Job JobOf(std::uint32_t id, std::int64_t prompt, std::int64_t length) {
  Job job;
  job.id = id;
  job.prompt = prompt;
  job.length = length;
  return job;
}

Test(a_fake_engine, conserves_tokens_and_memory_under_preemption) {
  EngineShape shape;
  shape.kv_capacity = 3'000;
  shape.kv_watermark = 30;
  Recorder recorder;
  FakeEngine engine(shape, recorder);
  std::mt19937_64 random(3);
  std::int64_t wanted = 0;
  for (std::uint32_t id = 0; id < 60; ++id) {
    const auto length = static_cast<std::int64_t>(random() % 900 + 1);
    wanted += length;
    cr_assert(engine.Submit(JobOf(id, 50, length)));
  }
  RunDry(engine, 0);
  cr_assert(recorder.preempted > 0);
  cr_assert(recorder.ended.size() == 60);
  cr_assert(engine.Emitted() == wanted);
  cr_assert(engine.KvUsed() == 0);
}

Test(a_fake_engine, slows_with_its_batch) {
  EngineShape shape;
  Recorder recorder;
  FakeEngine alone(shape, recorder);
  alone.Submit(JobOf(1, 0, 100));
  FakeEngine crowded(shape, recorder);
  for (std::uint32_t id = 0; id < 40; ++id) {
    crowded.Submit(JobOf(id, 0, 100));
  }
  const auto single = static_cast<std::int64_t>(
      (shape.step_base_us + shape.step_each_us) * 100);
  cr_assert(RunDry(alone, 0) == single);
  const auto many = static_cast<std::int64_t>(
      (shape.step_base_us + 40 * shape.step_each_us) * 100);
  cr_assert(RunDry(crowded, 0) == many);
}

Test(a_fake_engine, preempts_the_least_urgent) {
  EngineShape shape;
  shape.kv_capacity = 200;
  shape.kv_watermark = 0;
  Recorder recorder;
  FakeEngine engine(shape, recorder);
  Job batch = JobOf(1, 50, 100);
  batch.priority = 8;
  engine.Submit(batch);
  engine.Submit(JobOf(2, 50, 100));
  std::int64_t now = 0;
  while (recorder.preempted == 0) {
    now += *engine.BeginStep(now);
    engine.EndStep(now);
  }
  cr_assert(engine.Running().size() == 1 && engine.Running()[0].id == 2);
  RunDry(engine, now);
  cr_assert(recorder.tokens[1] == 100 && recorder.tokens[2] == 100);
}

Test(a_fake_engine, skips_the_prefill_of_a_cached_prefix) {
  EngineShape shape;
  shape.cached_prefixes = 1;
  Recorder recorder;
  FakeEngine engine(shape, recorder);
  Job job = JobOf(1, 900, 1);
  job.prefix = 5;
  job.prefix_tokens = 800;
  engine.Submit(job);
  const std::int64_t cold = RunDry(engine, 0);
  engine.Submit(job);
  const std::int64_t warm = RunDry(engine, 0);
  cr_assert(cold - warm == static_cast<std::int64_t>(800 * shape.prefill_us));
  job.prefix = 6;
  engine.Submit(job);
  RunDry(engine, 0);
  cr_assert(recorder.stored == 2 && recorder.evicted == 1);
}

Test(a_fake_engine, drops_late_work_and_loses_everything_when_it_dies) {
  Recorder recorder;
  FakeEngine engine(EngineShape{}, recorder);
  Job late = JobOf(1, 10, 10);
  late.deadline_us = 5;
  engine.Submit(late);
  cr_assert(!engine.BeginStep(6).has_value());
  cr_assert(recorder.dropped == 1);
  engine.Submit(JobOf(2, 10, 10));
  engine.BeginStep(7);
  engine.Submit(JobOf(3, 10, 10));
  engine.Lose(8);
  cr_assert(recorder.dropped == 3 && engine.KvUsed() == 0);
}

/// One server, Poisson arrivals, every service the same: the mean wait is
/// rho * D / (2 * (1 - rho)).
Test(a_fake_engine, waits_as_long_as_queueing_theory_says) {
  EngineShape shape;
  shape.max_batch = 1;
  shape.max_waiting = 100'000;
  Recorder recorder;
  FakeEngine engine(shape, recorder);
  constexpr std::int64_t kLength = 10;
  const double service = (shape.step_base_us + shape.step_each_us) * kLength;
  const double rho = 0.7;
  std::mt19937_64 random(11);
  std::exponential_distribution<double> gap(rho / service);
  constexpr std::uint32_t kJobs = 60'000;
  double arrival = 0.0;
  double waited = 0.0;
  std::int64_t now = 0;
  for (std::uint32_t id = 0; id < kJobs; ++id) {
    arrival += gap(random);
    // Let the engine work up to the arrival.
    while (!engine.Running().empty() || !engine.Waiting().empty()) {
      if (static_cast<double>(now) >= arrival) {
        break;
      }
      const auto step = engine.BeginStep(now);
      now += *step;
      engine.EndStep(now);
    }
    const auto ahead = static_cast<double>(engine.Waiting().size());
    double left = 0.0;
    if (!engine.Running().empty()) {
      const Job& job = engine.Running()[0];
      left = static_cast<double>(job.length - job.generated) *
                 (service / kLength) +
             static_cast<double>(now) - arrival;
    }
    waited += std::max(0.0, left + ahead * service);
    now = std::max(now, static_cast<std::int64_t>(std::ceil(arrival)));
    engine.Submit(JobOf(id, 0, kLength));
  }
  const double expected = rho * service / (2.0 * (1.0 - rho));
  const double mean = waited / kJobs;
  cr_assert(std::abs(mean - expected) < 0.05 * expected);
}

}  // namespace
}  // namespace meadowthread::bench
