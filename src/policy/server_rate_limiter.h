#ifndef MEADOWTHREAD_POLICY_SERVER_RATE_LIMITER_H_
#define MEADOWTHREAD_POLICY_SERVER_RATE_LIMITER_H_

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

/// @brief The rate of new requests that a server tolerates, in requests per
/// second summed over all hosts.
struct ServerRateLimit {
  /// Limit while the server is cold, that is, still warming up after its start;
  /// 0: unlimited.
  double cold_per_s = 0.0;
  /// Limit while the server is warm. Needed because a warm server may turn cold
  /// before the hosts learn of it; 0: unlimited.
  double warm_per_s = 0.0;

  friend bool operator==(const ServerRateLimit&,
                         const ServerRateLimit&) = default;
};

/// @brief Divides the request rate that a server tolerates among all hosts that
/// may send to it, so that they stay within it together.
///
/// Guards against overload of the few cold servers that are up when a burst of
/// requests arrives: hosts learn of each other's requests with a delay, so that
/// together they would send more than a cold server tolerates. Each host's
/// share follows from the host list alone, so that it holds even if the hosts
/// cannot reach each other; those that can may lend each other what they don't
/// need. If there are more hosts than requests to share out,
/// some hosts have no share; which ones differs from server to server.
///
/// Hosts whose lists differ in some names may exceed the rate by at most that
/// number of requests. A host without a host list sends nothing to servers that
/// have a limit.
class ServerRateLimiter {
 public:
  /// Length of the sliding window in which requests are counted.
  static constexpr std::int64_t kWindowMs = 1'000;

  /// Longest time from asking for a loan to hearing of it.
  static constexpr std::int64_t kLoanTransitMs = 100;

  /// @param[in] self this host's name
  explicit ServerRateLimiter(std::string_view self) : self(self) {}

  /// @brief Sets the hosts that may send, including this one; empty: not known
  /// yet.
  /// @complexity O(hosts * servers)
  void SetHosts(std::span<const std::string> names);

  /// @brief Sets a server's limits.
  /// @param[in] cold_until_ms monotonic time at which the server counts as warm
  /// @complexity O(hosts)
  void SetServer(std::string_view server, const ServerRateLimit& rule,
                 std::int64_t cold_until_ms);

  /// @brief Removes a server's limits.
  void Remove(std::string_view server);

  /// @brief Whether any server has a limit.
  bool HasLimits() const { return !this->servers.empty(); }

  /// @brief Whether this host may send one more request to the server now.
  bool May(std::string_view server, std::int64_t now_ms) const;

  /// @brief Whether a host's current share of the server's rate is above zero.
  bool HasShare(std::string_view host, std::string_view server,
                std::int64_t now_ms) const;

  /// @brief Counts a request that this host sends to the server.
  void NoteSent(std::string_view server, std::int64_t now_ms);

  /// @brief Gives one request of this host's share to another host. Refused if
  /// the share is used up, or if this host has sent to the server within the
  /// window, since it may need the rest itself.
  bool Lend(std::string_view server, std::int64_t now_ms);

  /// @brief Adds a request that another host has lent. It is used, within a
  /// short time, by a request for which the own share is used up.
  void AddLoan(std::string_view server, std::int64_t now_ms);

  /// @brief Reserves a request that will be sent once a KV-cache copy is done;
  /// it counts against the limit until it is released.
  void Hold(std::string_view server);

  /// @brief Releases a reservation made by Hold.
  void Release(std::string_view server);

 private:
  /// Division of a number of requests among hosts: each host gets `base`, and
  /// hosts whose score is at least `min_extra_score` get one more.
  struct HostShares {
    std::int64_t base = 0;
    std::uint64_t min_extra_score = std::numeric_limits<std::uint64_t>::max();
  };
  struct Server {
    ServerRateLimit rule;
    std::int64_t cold_until_ms = 0;
    HostShares cold_shares;
    HostShares warm_shares;
    int reserved = 0;
    /// Those within the window, lent ones included.
    std::deque<std::int64_t> recent_sends_ms;
    std::int64_t last_own_send_ms = -kWindowMs;
    std::deque<std::int64_t> loans_until_ms;  ///< unused ones to this host
  };

  std::optional<std::int64_t> ShareOf(std::string_view host,
                                      std::string_view server,
                                      std::int64_t now_ms) const;
  HostShares DivideAmongHosts(std::string_view server, double per_s) const;
  void UpdateShares(std::string_view name, Server* server) const;
  const Server* Find(std::string_view server) const;
  static std::int64_t InWindow(const Server& server, std::int64_t now_ms);

  std::string self;
  std::vector<std::string> hosts;
  StringMap<Server> servers;  ///< only those that have a limit
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_SERVER_RATE_LIMITER_H_
