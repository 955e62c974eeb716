#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_MODEL_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_MODEL_H_

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/generation.h"
#include "engine/prefix_cache.h"

namespace meadowthread::standins {

/// @brief Speed and capacity of a simulated engine.
struct EngineLimits {
  double token_ms = 20;     ///< duration of a step with an empty batch
  double slowdown = 0.005;  ///< relative slowdown per running generation
  std::int64_t kv_capacity = 400'000;  ///< tokens
  std::int64_t longest_queue = 1024;   ///< waiting generations
  std::int64_t largest_batch = 512;    ///< running generations
  std::int64_t prefill_tokens = 2048;  ///< prompt tokens prefilled per step
  std::size_t cached_prefixes = 64;
};

/// @brief How many generations and tokens an engine holds.
struct EngineLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t kv_used = 0;
  std::int64_t kv_capacity = 0;
  std::int64_t preemptions = 0;
};

/// @brief Simulates a model engine: continuous batching, one token per step,
/// with a limited KV cache, preemption with recomputation and a priority queue.
///
/// Does no I/O; the time is an argument and must not go back.
class EngineModel {
 public:
  /// @param[in] name the engine's name; part of every generation's id
  /// @param[in] incarnation unique to each start of the engine
  EngineModel(const EngineLimits& limits, std::string_view name,
              std::string_view incarnation);

  // 1. calls by clients

  /// @brief Queues a generation, which initially has a reader.
  /// @return null if the queue is full or the KV cache is too small for it
  Generation* Start(const GenerationSpec& spec, std::int64_t now_ms);

  /// @brief A generation that is active or can still be read; null if unknown.
  Generation* Find(std::string_view id, std::int64_t now_ms);

  /// @brief Cancels a running or waiting generation.
  /// @return false if it is neither
  bool Cancel(std::string_view id, std::int64_t now_ms);

  /// @brief Sets whether a generation has a reader.
  void SetRead(Generation* generation, bool is_read, std::int64_t now_ms);

  // 2. time

  /// @brief Executes every step that is due by `now_ms`.
  /// @return the number of steps executed
  /// @complexity steps times running generations
  int Advance(std::int64_t now_ms);

  /// @brief Loses every generation, as a restart at the same address does.
  void Restart(std::string_view incarnation, std::int64_t now_ms);

  // 3. state

  EngineLoad Load() const;
  const std::string& Incarnation() const { return this->incarnation; }
  const std::vector<std::unique_ptr<Generation>>& Generations() const {
    return this->generations;
  }
  PrefixCache& Prefixes() { return this->prefixes; }

 private:
  struct HigherPriorityFirst {
    bool operator()(const Generation* a, const Generation* b) const;
  };

  // 4. phases of a step
  double StepMs() const;
  void Step(std::int64_t now_ms);
  void EndOrphans(std::int64_t now_ms);
  void EndPastDeadline(std::int64_t now_ms);
  void Admit(std::int64_t now_ms);
  bool MakeRoomFor(const Generation& generation);
  void PreemptForMemory(std::int64_t now_ms);
  void Decode(std::int64_t now_ms);

  // 5. state transitions
  std::int64_t Need(const Generation& generation) const;
  std::int64_t StepNeed() const;
  Generation* LowestPriorityRunning() const;
  void Preempt(Generation* generation);
  void Run(Generation* generation, std::int64_t now_ms);
  void Release(Generation* generation);
  void End(Generation* generation, GenerationState state, std::int64_t now_ms);
  void Lose(Generation* generation, std::string_view reason,
            std::int64_t now_ms);

  EngineLimits limits;
  std::string name;
  std::string incarnation;
  PrefixCache prefixes;
  std::vector<std::unique_ptr<Generation>> generations;
  std::unordered_map<std::string, Generation*> by_id;
  std::set<Generation*, HigherPriorityFirst> waiting;
  std::vector<Generation*> running;
  std::int64_t kv_used = 0;
  std::int64_t preemptions = 0;
  std::int64_t starts = 0;
  double next_step_ms = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_MODEL_H_
