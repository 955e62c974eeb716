#ifndef MEADOWTHREAD_POLICY_NAMED_RATE_H_
#define MEADOWTHREAD_POLICY_NAMED_RATE_H_

#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief What one answer of a server says about the rate of requests that the
/// server takes from all hosts together.
struct NamedRate {
  enum class Kind {
    kNone,       ///< it names no rate
    kNamed,      ///< it names `per_s`
    kMalformed,  ///< it names something that is not a rate
  };
  Kind kind = Kind::kNone;
  double per_s = 0.0;  ///< requests per second, at least 0

  friend bool operator==(const NamedRate&, const NamedRate&) = default;
};

/// @brief An answer of a server, as far as it concerns the server's rate.
struct RateAnswer {
  std::string_view server;
  NamedRate rate;
  std::int64_t sent_ms = 0;  ///< monotonic: when the request was sent
  /// Rejections per second that the server says it bears; beyond that it
  /// crashes.
  NamedRate brittle = {};
  /// The server ran the request. Rejections need not name the rate.
  bool ran = true;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_NAMED_RATE_H_
