#ifndef MEADOWTHREAD_POLICY_ARRIVAL_LIMITS_H_
#define MEADOWTHREAD_POLICY_ARRIVAL_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief What a server withstands of new requests; requests a second, over all
/// hosts.
struct ArrivalRule {
  /// While it is cold; 0: any number.
  double cold_per_s = 0.0;
  /// At any other time, as it may turn cold before hosts hear of it; 0: any
  /// number.
  double warm_per_s = 0.0;

  friend bool operator==(const ArrivalRule&, const ArrivalRule&) = default;
};

/// @brief Shares out what a server withstands among all hosts that may send to
/// it, so that all of them together stay within it.
///
/// Answers the load pattern "a crowd comes to the few servers that are up, and
/// these are cold": hosts that hear of each other's sendings a moment late send
/// more than a cold server withstands, each with good reason. Here each host
/// has a part of its own, known from the list of hosts alone, also where it
/// hears nobody. Where there are more hosts than requests, some hosts have no
/// part: which ones differs from server to server.
///
/// Hosts whose lists differ by some names give out as many requests too many at
/// the most. A host that has no list yet sends nothing to such servers.
class ArrivalLimits {
 public:
  /// The time in which arrivals are counted.
  static constexpr std::int64_t kWindowMs = 1'000;

  /// @param[in] self this host's name
  explicit ArrivalLimits(std::string_view self) : self(self) {}

  /// @brief Takes the hosts that may send, this one among them; none: they are
  /// not known yet.
  /// @complexity O(hosts * servers)
  void SetHosts(std::span<const std::string> names);

  /// @brief Takes what a server withstands.
  /// @param[in] cold_until_ms monotonic
  /// @complexity O(hosts)
  void SetServer(std::string_view server, const ArrivalRule& rule,
                 std::int64_t cold_until_ms);

  /// @brief The server is gone.
  void Remove(std::string_view server);

  /// @brief Whether this host may send the server one request more now.
  bool May(std::string_view server, std::int64_t now_ms) const;

  /// @brief Whether a host has any part in what the server withstands now.
  bool HasPart(std::string_view host, std::string_view server,
               std::int64_t now_ms) const;

  /// @brief A request of this host leaves for the server.
  void NoteSent(std::string_view server, std::int64_t now_ms);

  /// @brief A request will leave for the server once a copy is done: it counts
  /// from now on, until it is released.
  void Hold(std::string_view server);
  void Release(std::string_view server);

 private:
  /// How a number of requests is shared out: each host has `each`, and one more
  /// where its score is `least_score` or above.
  struct Parts {
    std::int64_t each = 0;
    std::uint64_t least_score = std::numeric_limits<std::uint64_t>::max();
  };
  struct Server {
    ArrivalRule rule;
    std::int64_t cold_until_ms = 0;
    Parts cold;
    Parts warm;
    int held = 0;
    std::deque<std::int64_t> sent_ms;  ///< within the window
  };

  static std::uint64_t ScoreOf(std::string_view host, std::string_view server);
  std::optional<std::int64_t> PartOf(std::string_view host,
                                     std::string_view server,
                                     std::int64_t now_ms) const;
  Parts ShareOut(std::string_view server, double per_s) const;
  void ShareOutRule(std::string_view name, Server* server) const;
  const Server* Find(std::string_view server) const;

  std::string self;
  std::vector<std::string> hosts;
  StringMap<Server> servers;  ///< only those with a rule
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ARRIVAL_LIMITS_H_
