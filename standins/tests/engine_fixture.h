#ifndef MEADOWTHREAD_STANDINS_TESTS_ENGINE_FIXTURE_H_
#define MEADOWTHREAD_STANDINS_TESTS_ENGINE_FIXTURE_H_

#include <string>

#include "engine/engine_model.h"

namespace meadowthread::standins {

constexpr std::int64_t kStartMs = 1'000'000;
constexpr std::int64_t kTokenMs = 20;

/// @brief Limits with this KV cache capacity and the same step time for every
/// batch size.
inline EngineLimits LimitsOf(std::int64_t kv_capacity) {
  EngineLimits limits;
  limits.token_ms = kTokenMs;
  limits.slowdown = 0;
  limits.kv_capacity = kv_capacity;
  return limits;
}

/// @brief A generation of `length` tokens with a one-token prompt.
inline GenerationSpec SpecOf(std::int64_t length, std::int64_t priority = 1) {
  GenerationSpec spec;
  spec.request = "r";
  spec.length = length;
  spec.priority = priority;
  spec.orphan_timeout_ms = 1000;
  return spec;
}

/// @brief Advances an engine by `steps` token times.
/// @return the time of the last step
inline std::int64_t AdvanceSteps(EngineModel* model, std::int64_t from_ms,
                                 int steps) {
  std::int64_t now_ms = from_ms;
  for (int step = 0; step < steps; ++step) {
    now_ms += kTokenMs;
    model->Advance(now_ms);
  }
  return now_ms;
}

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_TESTS_ENGINE_FIXTURE_H_
