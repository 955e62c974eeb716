#ifndef MEADOWTHREAD_STANDINS_ENGINE_GENERATION_H_
#define MEADOWTHREAD_STANDINS_ENGINE_GENERATION_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace meadowthread::standins {

/// @brief A model with its adapter and version.
struct ModelRef {
  std::string model;
  std::string adapter;
  std::string version;

  friend bool operator==(const ModelRef&, const ModelRef&) = default;
};

/// @brief Why a completed generation ended: stop token or length limit.
enum class Finish { kStop, kLength };

/// @brief Parameters of a generation; its output depends on the prompt only.
struct GenerationSpec {
  std::string request;  ///< the host's attempt id
  std::string workspace;
  ModelRef model;
  std::int64_t prompt_tokens = 1;
  std::uint64_t prefix = 0;  ///< hash of the prompt's first bytes
  std::int64_t length = 1;   ///< output tokens
  Finish finish = Finish::kStop;
  bool crashes_engine = false;   ///< its start crashes the engine
  bool echo_generation = false;  ///< tokens contain the id
  std::int64_t priority = 0;     ///< 0 is the most urgent
  std::int64_t deadline_ms = 0;  ///< 0: none
  std::int64_t orphan_timeout_ms = 30'000;
};

/// @brief State of a generation.
enum class GenerationState {
  kWaiting,
  kRunning,
  kFinished,
  kCancelled,
  kOrphaned,
  kLost,
};

/// @brief The name under which the record shows a state.
std::string_view StateName(GenerationState state);

/// @brief One generation; kept after its end for the record.
struct Generation {
  std::string id;
  GenerationSpec spec;
  GenerationState state = GenerationState::kWaiting;
  std::string lost_reason;     ///< for the state kLost
  std::int64_t arrival = 0;    ///< number of the start, in order of arrival
  std::int64_t generated = 0;  ///< tokens generated so far
  std::int64_t kv_held = 0;    ///< KV cache tokens held
  std::int64_t recompute_steps = 0;  ///< prefill steps before the next token
  std::int64_t preemptions = 0;
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = 0;
  std::int64_t unread_since_ms = -1;  ///< -1: it has a reader
  /// Tokens that fault injection has dropped; each is dropped only once, so
  /// that a resumed stream delivers it.
  std::set<std::int64_t> dropped_indexes;

  /// @brief Whether it is waiting or running.
  bool IsActive() const {
    return this->state == GenerationState::kWaiting ||
           this->state == GenerationState::kRunning;
  }
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_GENERATION_H_
