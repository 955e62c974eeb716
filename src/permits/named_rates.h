#ifndef MEADOWTHREAD_PERMITS_NAMED_RATES_H_
#define MEADOWTHREAD_PERMITS_NAMED_RATES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/named_rate.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief Lowest rate that is kept, in requests per second. A server that names
/// less still gets a request now and then, so that the end of its need is
/// heard.
inline constexpr double kMinNamedPerS = 0.1;

/// @brief Highest rate that is kept; no server takes more.
inline constexpr double kMaxNamedPerS = 1e6;

/// @brief A rate and the span of time within which the server stated it, in
/// milliseconds of this host's monotonic clock.
struct RateStatement {
  double per_s = 0.0;  ///< 0: the server named no rate
  std::int64_t from_ms = 0;
  std::int64_t until_ms = 0;

  friend bool operator==(const RateStatement&, const RateStatement&) = default;
};

/// @brief Where a statement was heard; the name in log lines.
enum class RateSource { kAnswer, kPeer };

/// @brief The rates that servers name for the requests of all hosts together.
///
/// Answers overtake each other. A statement replaces another one if it is
/// certainly later; if their order is unknown, the lower rate holds.
class NamedRates {
 public:
  /// @brief Takes over a statement about a server.
  /// @return whether the rate in force changed
  bool Apply(std::string_view server, const RateStatement& statement,
             RateSource source);

  /// @brief Takes over what an answer says. A malformed rate changes nothing.
  /// @return whether the rate in force changed
  bool ApplyAnswer(const RateAnswer& answer, std::int64_t now_ms);

  /// @brief Logs, at a bounded rate, that an answer names something else than a
  /// rate.
  void NoteMalformed(std::string_view server, std::int64_t now_ms);

  /// @brief The rate that a server names, in requests per second; nullopt if it
  /// names none.
  std::optional<double> RateOf(std::string_view server) const;

  /// @brief The statement in force; nullptr if the server never named a rate.
  const RateStatement* Find(std::string_view server) const;

  /// @brief Forgets a server that is gone.
  void Remove(std::string_view server);

  /// @brief Number of servers that name a rate.
  std::size_t Count() const;

 private:
  StringMap<RateStatement> statements;
  std::optional<std::int64_t> malformed_logged_ms;
  std::int64_t malformed = 0;  ///< answers since the last log line
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_NAMED_RATES_H_
