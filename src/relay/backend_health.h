#ifndef MEADOWTHREAD_RELAY_BACKEND_HEALTH_H_
#define MEADOWTHREAD_RELAY_BACKEND_HEALTH_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief Result of an attempt at a backend server, as evidence of the server's
/// health.
enum class AttemptResult {
  kGood,
  kFailed,         ///< it answered with an error or the connection broke
  kUnreachable,    ///< the connection could not be established
  kExceededLimit,  ///< it sent more than any answer may have
};

/// @brief Converts a number received from another host; nullopt if it is out of
/// range.
std::optional<AttemptResult> AttemptResultOf(int number);

/// @brief The health of a server after an attempt.
struct HealthUpdate {
  std::string_view id;
  double failure_share = 0.0;  ///< failure rate of its recent requests, 0 to 1
  /// From now on the server is avoided for this long.
  std::int64_t backoff_ms = 0;
  AttemptResult result = AttemptResult::kGood;
  bool from_peer = false;  ///< the attempt was made by another host
};

/// @brief Tracks the health of backend servers from the results of requests
/// sent to them. Health checks would cost extra load, and servers' own health
/// reports can be wrong.
class BackendHealth {
 public:
  using Listener = std::function<void(const HealthUpdate& update)>;

  /// @brief Registers the function that is called after each attempt.
  void SetListener(const Listener& listener) { this->listener = listener; }

  /// @brief Records an attempt made by this host.
  void RecordAttempt(std::string_view id, AttemptResult result,
                     std::int64_t now_ms);

  /// @brief Records an attempt made by another host.
  void RecordPeerAttempt(std::string_view id, AttemptResult result,
                         std::int64_t now_ms);

  /// @brief Whether requests may be sent to the server; false during the
  /// backoff after failed connections and answers without end.
  bool IsUsable(std::string_view id, std::int64_t now_ms) const;

  /// @brief Failure rate of recent requests, from 0 to 1. It stays low while
  /// there are few requests to judge by.
  double FailureRate(std::string_view id, std::int64_t now_ms) const;

  /// @brief Number of this host's attempts in progress at a server.
  int InProgress(std::string_view id) const;
  void NoteAttemptStarted(std::string_view id);
  void NoteAttemptEnded(std::string_view id);

  /// @brief Deletes the record of a server that has gone.
  void Forget(std::string_view id);

 private:
  struct Record {
    double good = 0.0;  ///< successes; both counts decay exponentially
    double failed = 0.0;
    std::int64_t counted_ms = 0;
    int backoffs = 0;  ///< consecutive results that caused a backoff
    int in_progress = 0;
    std::int64_t backoff_until_ms = 0;
  };

  void Apply(HealthUpdate update, std::int64_t now_ms);
  static double DecayOf(const Record& record, std::int64_t now_ms);

  StringMap<Record> records;
  Listener listener;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_BACKEND_HEALTH_H_
