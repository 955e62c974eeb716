#ifndef MEADOWTHREAD_RELAY_BACKEND_HEALTH_H_
#define MEADOWTHREAD_RELAY_BACKEND_HEALTH_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief How an attempt at a backend server went, as far as it speaks for or
/// against the server.
enum class AttemptResult {
  kGood,
  kFailed,       ///< it answered with a failure, or broke off
  kUnreachable,  ///< no connection came about
};

/// @brief Reads an attempt's result as a number; nullopt where it is none.
std::optional<AttemptResult> AttemptResultOf(int number);

/// @brief What is believed of a server since its last attempt.
struct HealthNews {
  std::string_view id;
  double failure_share = 0.0;  ///< of its recent requests, 0 to 1
  std::int64_t aside_ms = 0;   ///< it is set aside for so long from now on
  AttemptResult result = AttemptResult::kGood;
  bool is_told = false;  ///< another host made the attempt
};

/// @brief Judges backend servers by what becomes of requests sent to them:
/// asking them costs, and their own word is not always true.
class BackendHealth {
 public:
  using Listener = std::function<void(const HealthNews& news)>;

  /// @brief Told after each attempt.
  void SetListener(const Listener& listener) { this->listener = listener; }

  void Note(std::string_view id, AttemptResult result, std::int64_t now_ms);

  /// @brief Takes how an attempt of another host went.
  void NoteTold(std::string_view id, AttemptResult result, std::int64_t now_ms);

  /// @brief Whether it may be sent to: it is not set aside.
  bool MayUse(std::string_view id, std::int64_t now_ms) const;

  /// @brief The part of its recent requests that failed, from 0 to 1; little
  /// evidence counts for little.
  double FailureShare(std::string_view id, std::int64_t now_ms) const;

  /// @brief This host's attempts in progress at a server.
  int InProgress(std::string_view id) const;
  void NoteBegun(std::string_view id);
  void NoteOver(std::string_view id);

  /// @brief Forgets a server that is gone.
  void Forget(std::string_view id);

 private:
  struct Record {
    double good = 0.0;  ///< decaying counts
    double failed = 0.0;
    std::int64_t counted_ms = 0;
    int unreachable = 0;  ///< in a row
    int in_progress = 0;
    std::int64_t aside_until_ms = 0;
  };

  void Take(HealthNews news, std::int64_t now_ms);
  static double DecayOf(const Record& record, std::int64_t now_ms);

  StringMap<Record> records;
  Listener listener;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_BACKEND_HEALTH_H_
