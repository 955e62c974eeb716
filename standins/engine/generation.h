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

/// @brief How a whole generation ends.
enum class Finish { kStop, kLength };

/// @brief What a generation is to be; the output is fixed by the prompt.
struct GenerationSpec {
  std::string request;  ///< the host's attempt id
  std::string workspace;
  ModelRef model;
  std::int64_t prompt_tokens = 1;
  std::uint64_t prefix = 0;  ///< hash of the prompt's beginning
  std::int64_t length = 1;   ///< tokens of the whole output
  Finish finish = Finish::kStop;
  bool ends_engine = false;      ///< the engine that begins it ends
  bool echo_generation = false;  ///< each token names its generation
  std::int64_t priority = 0;     ///< 0 is most urgent
  std::int64_t deadline_ms = 0;  ///< 0: none
  std::int64_t orphan_timeout_ms = 30'000;
};

/// @brief Where a generation stands.
enum class GenerationState {
  kWaiting,
  kRunning,
  kFinished,
  kCancelled,
  kOrphaned,
  kLost,
};

/// @brief The state's name in the record.
std::string_view StateName(GenerationState state);

/// @brief One generation, from its start to long after its end.
struct Generation {
  std::string id;
  GenerationSpec spec;
  GenerationState state = GenerationState::kWaiting;
  std::string lost_reason;           ///< for the state kLost
  std::int64_t arrival = 0;          ///< counts starts
  std::int64_t generated = 0;        ///< tokens made so far
  std::int64_t kv_held = 0;          ///< tokens of memory held
  std::int64_t recompute_steps = 0;  ///< steps before the next token
  std::int64_t preemptions = 0;
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = 0;
  std::int64_t unread_since_ms = -1;  ///< -1: it has a reader
  /// Tokens that a faulty stream left out: each is lost once, not for good.
  std::set<std::int64_t> left_out;

  /// @brief Whether it waits or runs.
  bool IsActive() const {
    return this->state == GenerationState::kWaiting ||
           this->state == GenerationState::kRunning;
  }
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_GENERATION_H_
