#ifndef MEADOWTHREAD_BENCH_FAKE_ENGINE_H_
#define MEADOWTHREAD_BENCH_FAKE_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace meadowthread::bench {

/// @brief Speeds and sizes of one fake engine.
struct EngineShape {
  std::int64_t kv_capacity = 60'000;  ///< tokens
  std::int64_t kv_watermark = 600;    ///< kept free when admitting
  std::size_t max_batch = 256;
  std::size_t max_waiting = 64;  ///< beyond it work is rejected
  double step_base_us = 12'000.0;
  double step_each_us = 250.0;         ///< for each sequence in the batch
  double prefill_us = 30.0;            ///< for each prompt token
  std::int64_t prefill_chunk = 1'024;  ///< prompt tokens in one step
  std::size_t cached_prefixes = 64;
};

/// @brief One generation, its length known to the engine only.
struct Job {
  std::uint32_t id = 0;
  std::int64_t prompt = 0;
  std::int64_t length = 1;
  int priority = 0;              ///< 0 is most urgent
  std::int64_t deadline_us = 0;  ///< to be begun; 0: none
  std::uint64_t prefix = 0;
  std::int64_t prefix_tokens = 0;

  // The engine's own.
  std::int64_t generated = 0;
  std::int64_t prefill_left = 0;
  std::uint64_t order = 0;  ///< of arrival at this engine
};

/// @brief Told what becomes of jobs.
class EngineListener {
 public:
  virtual ~EngineListener() = default;
  virtual void OnToken(const Job& job, std::int64_t now_us) = 0;
  virtual void OnEnd(const Job& job, std::int64_t now_us) = 0;
  virtual void OnPreempted(const Job& job) = 0;
  virtual void OnDropped(const Job& job, std::int64_t now_us) = 0;
  virtual void OnCache(std::uint64_t prefix, bool stored) = 0;
};

/// @brief A model engine in virtual time: continuous batching with a token
/// clock that slows with the batch, a memory limit, preemption by recompute
/// (least urgent first, then the latest), and a prefix cache.
class FakeEngine {
 public:
  FakeEngine(const EngineShape& shape, EngineListener& listener);

  /// @brief False: rejected, never run.
  bool Submit(Job job);

  /// @brief Admits, preempts and starts one step.
  /// @return its duration in microseconds; empty with nothing to do
  std::optional<std::int64_t> BeginStep(std::int64_t now_us);

  /// @brief Ends the step: each decoding job gets one token.
  void EndStep(std::int64_t now_us);

  /// @brief Loses everything; OnDropped for each job.
  void Lose(std::int64_t now_us);

  const EngineShape& Shape() const { return this->shape; }
  const std::vector<Job>& Running() const { return this->running; }
  const std::deque<Job>& Waiting() const { return this->waiting; }
  std::int64_t KvUsed() const { return this->kv_used; }
  std::int64_t Preemptions() const { return this->preemptions; }
  std::int64_t Emitted() const { return this->emitted; }

 private:
  void Admit(std::int64_t now_us);
  void Enqueue(const Job& job);
  void MakeRoom();
  void PreemptOne();
  std::int64_t Prefill();
  bool LookUpPrefix(std::uint64_t prefix);

  EngineShape shape;
  EngineListener& listener;
  std::vector<Job> running;
  std::deque<Job> waiting;             ///< by priority, then by order
  std::deque<std::uint64_t> prefixes;  ///< the last used at the back
  std::int64_t kv_used = 0;
  std::int64_t preemptions = 0;
  std::int64_t emitted = 0;
  std::uint64_t orders = 0;
};

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_BENCH_FAKE_ENGINE_H_
