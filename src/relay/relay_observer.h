#ifndef MEADOWTHREAD_RELAY_RELAY_OBSERVER_H_
#define MEADOWTHREAD_RELAY_RELAY_OBSERVER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief Summary of one finished request.
struct RelayRequestSummary {
  std::string route;
  std::string service;
  /// One of complete, answered, not_run, unknown, interrupted, caller_gone and
  /// refused.
  std::string outcome;
  std::string reason;  ///< empty if complete
  int attempts = 1;
  int moves = 0;  ///< times a stream was moved to another engine
  /// From arrival to the answer or the first event.
  std::int64_t first_ms = -1;
  std::int64_t longest_gap_ms = -1;  ///< between two events; -1: not a stream
  std::int64_t total_ms = 0;
};

/// @brief Receives a summary of every request that ends, including requests
/// that are refused immediately.
class RelayObserver {
 public:
  virtual ~RelayObserver() = default;
  virtual void OnRequestEnded(const RelayRequestSummary& end) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RELAY_OBSERVER_H_
