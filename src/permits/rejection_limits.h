#ifndef MEADOWTHREAD_PERMITS_REJECTION_LIMITS_H_
#define MEADOWTHREAD_PERMITS_REJECTION_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief The last known rejection of a brittle server, and what follows from
/// it.
struct Rejection {
  /// Rejections per second, of requests of all hosts, that the server bears.
  double bears_per_s = 0.0;
  /// Requests per second that all hosts together may send from then on.
  double rate_per_s = 0.0;
  std::int64_t at_ms = 0;  ///< monotonic clock of this host
};

/// @brief Rates for brittle servers, which crash if they have to reject too
/// many requests.
///
/// Some rejections a second tell that the server is full. From then on all
/// hosts together send a little less than it took before, and more and more
/// until the next ones. If those come soon, the server is full for longer: the
/// hosts send no more than it can reject.
class RejectionLimits {
 public:
  /// @brief Records how many rejections a server says that it bears.
  void NoteBrittle(std::string_view server, double bears_per_s);

  /// @brief Whether the server said that it bears few rejections.
  bool IsBrittle(std::string_view server) const {
    return this->brittle.contains(server);
  }

  /// @brief How long a brittle server must have been without a rejection before
  /// it is tried with one more call at once.
  std::int64_t RaiseAfterMs(std::string_view server) const;

  /// @brief Records that a server ran a request of this host.
  void NoteRan(std::string_view server, std::int64_t now_ms);

  /// @brief What this host knows of a server that has rejected one of its
  /// requests: how much the server bears, and the rate to go on with.
  /// @param[in] hosts number of hosts that send requests
  /// @return nullopt if the server is not brittle
  std::optional<Rejection> Describe(std::string_view server, std::size_t hosts,
                                    std::int64_t now_ms) const;

  /// @brief Counts a rejection, of this host's request or another one's.
  /// @param[in] rejection as Describe gave it, at the host that was rejected
  /// @return whether the rejections of the last second are too many, so that
  /// the rate was lowered and other hosts have to be told
  bool Count(std::string_view server, const Rejection& rejection);

  /// @brief Takes over a rate that another host has lowered.
  /// @return whether it was news
  bool Apply(std::string_view server, const Rejection& told);

  /// @brief The rate for all hosts together; nullopt: none.
  std::optional<double> RateOf(std::string_view server,
                               std::int64_t now_ms) const;

  /// @brief The last rejection; nullptr if none is known.
  const Rejection* Find(std::string_view server) const;

  /// @brief Forgets a server that is gone.
  void Remove(std::string_view server);

 private:
  struct Brittle {
    double bears_per_s = 0.0;  ///< what the server says
    /// Requests of this host that it ran, decaying exponentially.
    double ran = 0.0;
    std::int64_t ran_ms = 0;
  };

  StringMap<Brittle> brittle;
  StringMap<std::deque<std::int64_t>> counted_ms;  ///< within a second
  StringMap<Rejection> rejections;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_REJECTION_LIMITS_H_
