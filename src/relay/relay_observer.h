#ifndef MEADOWTHREAD_RELAY_RELAY_OBSERVER_H_
#define MEADOWTHREAD_RELAY_RELAY_OBSERVER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief How one request ended.
struct RelayEnd {
  std::string route;
  std::string service;
  std::string
      outcome;         ///< complete, answered, not_run, unknown, interrupted...
  std::string reason;  ///< empty where it is complete
  int attempts = 1;
  int moves = 0;                     ///< a stream's, to other engines
  std::int64_t first_ms = -1;        ///< to the answer or the first event
  std::int64_t longest_gap_ms = -1;  ///< between two events; -1: no stream
  std::int64_t total_ms = 0;
};

/// @brief Told of every request that ends, and of those refused at once.
class RelayObserver {
 public:
  virtual ~RelayObserver() = default;
  virtual void OnRequestEnded(const RelayEnd& end) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RELAY_OBSERVER_H_
