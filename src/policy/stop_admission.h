#ifndef MEADOWTHREAD_POLICY_STOP_ADMISSION_H_
#define MEADOWTHREAD_POLICY_STOP_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/engine_speeds.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief What a host that is shutting down knows about the other hosts.
class StopView {
 public:
  virtual ~StopView() = default;

  /// @brief Retry delay for callers whose requests the stopping host refuses.
  virtual std::int64_t ReturnAfterMs() const = 0;
};

/// @brief What is known of a stream before it is sent.
struct StreamForecast {
  std::int64_t max_output_tokens = 0;  ///< 0: not known
  std::int64_t remaining_ms = 0;       ///< until its deadline
  std::int64_t prefill_ms = 0;  ///< expected, with the prompts ahead of it
  /// Longest pause that its route allows, divided by the tokens of an event;
  /// 0: any.
  std::int64_t max_token_gap_us = 0;
  std::optional<TokenPace> pace;  ///< of its engine; nullopt: not measured
};

/// @brief Upper bound for the duration of a stream, from sending it to its end.
///
/// An engine that fills up after the stream was sent may take twice the typical
/// time per token. An engine whose pace has not been measured may take as long
/// as the stream's route allows.
std::int64_t MaxStreamMs(const StreamForecast& stream);

/// @brief What is known of a call before it is sent.
struct CallForecast {
  std::int64_t remaining_ms = 0;       ///< until its deadline
  std::int64_t target_latency_ms = 0;  ///< of its route; 0: none
  /// Duration of the slowest recent call of its route; nullopt: none.
  std::optional<std::int64_t> slowest_ms;
};

/// @brief Upper bound for the duration of a call, from sending it to its end.
std::int64_t MaxCallMs(const CallForecast& call);

/// @brief Remembers the slowest recent call of each route.
class RecentCallDurations {
 public:
  /// @param[in] now_ms monotonic
  void Note(std::string_view route, std::int64_t took_ms, std::int64_t now_ms);

  /// @brief Duration of the slowest call of the last ten to twenty seconds;
  /// nullopt if there was none.
  std::optional<std::int64_t> Slowest(std::string_view route,
                                      std::int64_t now_ms) const;

 private:
  static std::optional<std::int64_t> Find(const StringMap<std::int64_t>& in,
                                          std::string_view route);

  StringMap<std::int64_t> current;
  StringMap<std::int64_t> previous;  ///< of the window before
  std::int64_t window_begun_ms = 0;
};

/// @brief Decides which requests a host that is shutting down may still send to
/// a server: those that certainly end before the host does.
///
/// Guards against breaking off answers midway: a request that is refused before
/// it is sent can run on another host.
class StopAdmission {
 public:
  /// @brief Begins the shutdown.
  /// @param[in] ends_ms monotonic time by which requests must have ended
  /// @param[in] view outlives this
  void Begin(std::int64_t ends_ms, const StopView& view);

  bool HasBegun() const { return this->view != nullptr; }

  /// @brief Whether a request that is sent now ends in time; always true while
  /// the host is not shutting down.
  /// @param[in] max_ms upper bound for its duration
  bool Allows(std::int64_t now_ms, std::int64_t max_ms) const {
    return !this->HasBegun() || now_ms + max_ms < this->ends_ms;
  }

  /// @brief Time left for requests, in milliseconds; only while shutting down.
  std::int64_t LeftMs(std::int64_t now_ms) const {
    return this->ends_ms - now_ms;
  }

  /// @brief Retry delay for refused callers; -1 if the host is not shutting
  /// down.
  std::int64_t ReturnAfterMs() const {
    return this->HasBegun() ? this->view->ReturnAfterMs() : -1;
  }

  /// @brief Durations of the calls that ended, also before the shutdown.
  RecentCallDurations& Calls() { return this->calls; }

 private:
  std::int64_t ends_ms = -1;
  const StopView* view = nullptr;  ///< null: not shutting down
  RecentCallDurations calls;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_STOP_ADMISSION_H_
