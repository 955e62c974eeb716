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

/// @brief How an engine computes.
struct EngineLimits {
  double token_ms = 20;     ///< a step with an empty batch
  double slowdown = 0.005;  ///< share by which each running one slows it
  std::int64_t kv_capacity = 400'000;  ///< tokens
  std::int64_t longest_queue = 1024;   ///< waiting generations
  std::int64_t largest_batch = 512;    ///< running generations
  std::int64_t prefill_tokens = 2048;  ///< prompt tokens a step works off
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

/// @brief A model engine's computing: continuous batching by a token clock
/// with limited memory, preemption with recompute and a priority queue.
///
/// Pure: time is an argument and never goes back; no sockets.
class EngineModel {
 public:
  /// @param[in] name the engine; part of every generation's id
  /// @param[in] incarnation differs for every start of the engine
  EngineModel(const EngineLimits& limits, std::string_view name,
              std::string_view incarnation);

  // 1. calls of readers

  /// @brief Takes a generation in; it has a reader from the start on.
  /// @return null where the queue is full or memory could never hold it
  Generation* Start(const GenerationSpec& spec, std::int64_t now_ms);

  /// @brief A generation that runs or can still be read; null where unknown.
  Generation* Find(std::string_view id, std::int64_t now_ms);

  /// @brief Ends a generation that runs or waits.
  /// @return false where it does neither
  bool Cancel(std::string_view id, std::int64_t now_ms);

  /// @brief Says whether a generation has a reader.
  void SetRead(Generation* generation, bool is_read, std::int64_t now_ms);

  // 2. time

  /// @brief Computes every step due up to `now_ms`.
  /// @return the steps taken
  /// @complexity steps times running generations
  int Advance(std::int64_t now_ms);

  /// @brief Loses every generation, as a restart in the same place does.
  void Restart(std::string_view incarnation, std::int64_t now_ms);

  // 3. state

  EngineLoad Load() const;
  const std::string& Incarnation() const { return this->incarnation; }
  const std::vector<std::unique_ptr<Generation>>& Generations() const {
    return this->generations;
  }
  PrefixCache& Prefixes() { return this->prefixes; }

 private:
  struct MoreUrgent {
    bool operator()(const Generation* a, const Generation* b) const;
  };

  // 4. one step
  double StepMs() const;
  void Step(std::int64_t now_ms);
  void EndUnread(std::int64_t now_ms);
  void EndLate(std::int64_t now_ms);
  void Admit(std::int64_t now_ms);
  bool MakeRoomFor(const Generation& generation);
  void RelieveMemory(std::int64_t now_ms);
  void Decode(std::int64_t now_ms);

  // 5. changes of state
  std::int64_t Need(const Generation& generation) const;
  std::int64_t StepNeed() const;
  Generation* LeastUrgentRunning() const;
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
  std::set<Generation*, MoreUrgent> waiting;
  std::vector<Generation*> running;
  std::int64_t kv_used = 0;
  std::int64_t preemptions = 0;
  std::int64_t starts = 0;
  double next_step_ms = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_MODEL_H_
