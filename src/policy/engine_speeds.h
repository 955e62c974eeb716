#ifndef MEADOWTHREAD_POLICY_ENGINE_SPEEDS_H_
#define MEADOWTHREAD_POLICY_ENGINE_SPEEDS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief A measurement of how fast an engine generates, taken over the streams
/// of one host within about a second.
struct SpeedObservation {
  std::string engine;
  /// Time per token between events, when no prompt is prefilled beside them.
  std::int64_t typical_us = 0;
  /// Longest pause between two events, divided by the tokens of an event.
  std::int64_t longest_us = 0;
};

/// @brief Time per token at which an engine has recently generated.
struct TokenPace {
  /// Largest of the recent measurements' typical times.
  std::int64_t typical_us = 0;
  /// Longest recent pause between two events, divided by the tokens of an
  /// event.
  std::int64_t longest_us = 0;
};

/// @brief How fast each engine generates compared with the others, and which
/// pauses its streams have to expect.
///
/// Engines of one service may differ by more than a factor of two. One estimate
/// for all of them predicts first events wrongly, and does not tell on which
/// engines streams exceed the longest pause that their route allows.
class EngineSpeeds {
 public:
  /// @brief Adds a measurement.
  /// @param[in] engine dense index, as in FleetState
  /// @param[in] model that it serves; engines of several models are not
  /// compared
  /// @return false if it is ignored, because it is not plausible
  bool Observe(std::size_t engine, std::string_view model,
               const SpeedObservation& seen);

  /// @brief Forgets an engine that is gone or has started again.
  void Forget(std::size_t engine);

  /// @brief Whether the engines differ so much that choices depend on it.
  bool AreUneven() const;

  /// @brief The engine's time per token divided by the median engine's; 1 if it
  /// is not known or the engines are about equally fast.
  double RelativeTime(std::size_t engine) const;

  /// @brief Whether the engine's speed has been measured.
  bool IsKnown(std::size_t engine) const {
    return engine < this->engines.size() && this->engines[engine].count > 0;
  }

  /// @brief The engine's recent time per token; nullopt if it has not been
  /// measured since its start.
  std::optional<TokenPace> PaceOf(std::size_t engine) const;

  /// @brief The pause that a stream at the engine has to expect when a prompt
  /// is prefilled beside it while the engine is slow for a moment, divided by
  /// the tokens of an event; 0 if the engines are about equally fast.
  double ExpectedPauseUs(std::size_t engine) const;

  /// @brief Number of measurements that were not plausible.
  std::int64_t Ignored() const { return this->ignored; }

 private:
  static constexpr std::size_t kKept = 8;
  struct Engine {
    std::array<float, kKept> typical_us = {};  ///< ring of the latest ones
    std::array<float, kKept> longest_us = {};  ///< likewise
    std::size_t count = 0;                     ///< since the engine's start
    double median_us = 0.0;                    ///< of those in the ring
    std::size_t model_hash = 0;
  };
  struct Summary {
    double median_us = 0.0;  ///< of the known engines
    bool are_uneven = false;
  };

  const Summary& Summarize() const;
  void NotePause(const Engine& engine, double pause_us);

  std::vector<Engine> engines;
  /// Logarithm of the pause factor: the ratio of long pauses to the typical
  /// time per token.
  double log_pause_factor = 0.0;
  std::int64_t ignored = 0;
  mutable Summary summary;
  mutable bool is_stale = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ENGINE_SPEEDS_H_
