#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "tests/engine_fixture.h"

namespace meadowthread::standins {
namespace {

Test(a_batching_engine, generates_one_token_per_step) {
  EngineModel model(LimitsOf(1000), "e", "1");
  const Generation* first = model.Start(SpecOf(3), kStartMs);
  const Generation* second = model.Start(SpecOf(5), kStartMs);
  model.Advance(kStartMs);
  cr_assert(first->generated == 1 && second->generated == 1);
  AdvanceSteps(&model, kStartMs, 4);
  cr_assert(first->state == GenerationState::kFinished);
  cr_assert(first->generated == 3 && second->generated == 5);
  cr_assert(model.Load().kv_used == 0);
}

Test(a_batching_engine, slows_with_its_batch) {
  EngineLimits limits = LimitsOf(1000);
  limits.slowdown = 0.5;
  EngineModel model(limits, "e", "1");
  const Generation* first = model.Start(SpecOf(100), kStartMs);
  model.Start(SpecOf(100), kStartMs);
  // Two in the batch: 20 ms * (1 + 0.5 * 2) = 40 ms per step.
  AdvanceSteps(&model, kStartMs, 10);
  cr_assert(first->generated == 6);
}

Test(a_batching_engine, conserves_tokens_and_memory_under_load) {
  constexpr std::int64_t kCapacity = 300;
  EngineModel model(LimitsOf(kCapacity), "e", "1");
  std::mt19937 random(7);
  std::int64_t now_ms = kStartMs;
  for (int step = 0; step < 4000; ++step) {
    if (step < 2000 && random() % 8 == 0) {
      const auto length = static_cast<std::int64_t>(1 + random() % 120);
      model.Start(SpecOf(length, static_cast<std::int64_t>(random() % 3)),
                  now_ms);
    }
    now_ms = AdvanceSteps(&model, now_ms, 1);
    std::int64_t held = 0;
    for (const auto& generation : model.Generations()) {
      held += generation->kv_held;
      cr_assert(generation->generated <= generation->spec.length);
    }
    cr_assert(held == model.Load().kv_used);
    cr_assert(held <= kCapacity, "step %d holds %ld", step, held);
  }
  cr_assert(model.Load().preemptions > 0);
  cr_assert(model.Generations().size() > 200);
  for (const auto& generation : model.Generations()) {
    cr_assert(generation->state == GenerationState::kFinished);
    cr_assert(generation->generated == generation->spec.length);
  }
}

Test(a_full_engine, preempts_the_least_urgent_and_then_the_latest) {
  EngineModel model(LimitsOf(24), "e", "1");
  const Generation* urgent = model.Start(SpecOf(100, 0), kStartMs);
  const Generation* early = model.Start(SpecOf(100, 2), kStartMs);
  const Generation* late = model.Start(SpecOf(100, 2), kStartMs);
  std::int64_t now_ms = AdvanceSteps(&model, kStartMs, 6);
  cr_assert(model.Load().running == 3 && model.Load().kv_used == 24);
  now_ms = AdvanceSteps(&model, now_ms, 1);
  cr_assert(late->state == GenerationState::kWaiting);
  cr_assert(early->state == GenerationState::kRunning);
  AdvanceSteps(&model, now_ms, 5);
  cr_assert(early->state == GenerationState::kWaiting);
  cr_assert(urgent->state == GenerationState::kRunning);
  cr_assert(late->generated == 7 && late->kv_held == 0);
}

Test(a_full_engine, preempts_for_a_more_urgent_generation) {
  EngineModel model(LimitsOf(20), "e", "1");
  const Generation* report = model.Start(SpecOf(100, 2), kStartMs);
  const std::int64_t now_ms = AdvanceSteps(&model, kStartMs, 15);
  GenerationSpec tag = SpecOf(3, 0);
  tag.prompt_tokens = 10;
  const Generation* urgent = model.Start(tag, now_ms);
  AdvanceSteps(&model, now_ms, 1);
  cr_assert(urgent->state == GenerationState::kRunning);
  cr_assert(report->state == GenerationState::kWaiting);
  AdvanceSteps(&model, now_ms + kTokenMs, 3);
  cr_assert(urgent->state == GenerationState::kFinished);
  cr_assert(report->state == GenerationState::kRunning);
}

Test(a_full_engine, recomputes_a_preempted_generation) {
  EngineLimits limits = LimitsOf(20);
  limits.prefill_tokens = 3;
  EngineModel model(limits, "e", "1");
  const Generation* report = model.Start(SpecOf(100, 2), kStartMs);
  std::int64_t now_ms = AdvanceSteps(&model, kStartMs, 9);
  cr_assert(report->generated == 10);
  GenerationSpec tag = SpecOf(1, 0);
  tag.prompt_tokens = 12;
  tag.prefix = 1;
  model.Start(tag, now_ms);
  // The urgent generation needs four steps for its prefill and a fifth for its
  // token.
  now_ms = AdvanceSteps(&model, now_ms, 5);
  cr_assert(report->state == GenerationState::kWaiting);
  now_ms = AdvanceSteps(&model, now_ms, 3);
  cr_assert(report->state == GenerationState::kRunning);
  cr_assert(report->generated == 10);
  AdvanceSteps(&model, now_ms, 1);
  cr_assert(report->generated == 11);
}

Test(a_full_engine, loses_a_generation_too_large_for_its_memory) {
  EngineModel model(LimitsOf(10), "e", "1");
  GenerationSpec long_prompt = SpecOf(1);
  long_prompt.prompt_tokens = 10;
  cr_assert(model.Start(long_prompt, kStartMs) == nullptr);
  const Generation* report = model.Start(SpecOf(100), kStartMs);
  AdvanceSteps(&model, kStartMs, 20);
  cr_assert(report->state == GenerationState::kLost);
  cr_assert(report->lost_reason == "memory" && report->generated == 9);
}

Test(a_full_engine, refuses_beyond_its_queue_limit) {
  EngineLimits limits = LimitsOf(100);
  limits.longest_queue = 2;
  limits.largest_batch = 1;
  EngineModel model(limits, "e", "1");
  cr_assert(model.Start(SpecOf(9), kStartMs) != nullptr);
  model.Advance(kStartMs);
  cr_assert(model.Start(SpecOf(9), kStartMs) != nullptr);
  cr_assert(model.Start(SpecOf(9), kStartMs) != nullptr);
  cr_assert(model.Start(SpecOf(9), kStartMs) == nullptr);
}

Test(a_frozen_engine, does_not_catch_up_on_the_frozen_time) {
  EngineModel model(LimitsOf(100'000), "e", "1");
  const Generation* report = model.Start(SpecOf(50'000), kStartMs);
  model.Advance(kStartMs + 600'000);
  cr_assert(report->generated <= 51);
}

}  // namespace
}  // namespace meadowthread::standins
