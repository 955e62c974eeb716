#ifndef MEADOWTHREAD_PERMITS_SHARE_LOANS_H_
#define MEADOWTHREAD_PERMITS_SHARE_LOANS_H_

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/gossip_channel.h"
#include "nlohmann/json.hpp"
#include "policy/server_rate_limiter.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief Lets a host whose shares of servers' rates are used up use those that
/// other hosts don't need.
///
/// Most callers may come to one host, while shares are equal. A lent request
/// counts as sent by the lender, so that all hosts together stay within the
/// rate; if the answer is lost, it is not used.
class ShareLoans {
 public:
  /// @brief The names of the hosts that shares are divided among; empty: not
  /// known yet.
  using Hosts = std::function<std::vector<std::string>()>;

  /// @param[in] self this host's name
  /// @param[in] limiter,channel,clock,random outlive this
  ShareLoans(std::string_view self, ServerRateLimiter& limiter,
             GossipChannel& channel, const Clock& clock,
             std::mt19937_64& random, const Hosts& hosts);
  ShareLoans(const ShareLoans&) = delete;
  ShareLoans& operator=(const ShareLoans&) = delete;

  /// @brief Whether any server has a rate limit that is divided among hosts.
  bool IsNeeded() const { return this->limiter.HasLimits(); }

  /// @brief Called before a request is placed on one of these servers. Borrows
  /// once only few of them may get a request within this host's own shares, so
  /// that other hosts hear of no request while shares are ample.
  /// @complexity linear in the servers, and in the hosts for a borrowed one
  void PrepareFor(std::span<const std::string_view> servers);

  /// @brief Handle messages of other hosts; malformed ones are logged.
  void OnRequest(std::string_view host, const nlohmann::json& payload);
  void OnLoan(std::string_view host, const nlohmann::json& payload);

  /// @brief Number of requests lent by this host, and to it.
  std::int64_t Lent() const { return this->lent; }
  std::int64_t Borrowed() const { return this->borrowed; }

  static constexpr char kRequestTopic[] = "share-ask";
  static constexpr char kLoanTopic[] = "share-lent";

 private:
  void Borrow(std::string_view server);
  std::vector<std::string> HostsWithShare(std::string_view server) const;

  std::string self;
  ServerRateLimiter& limiter;
  GossipChannel& channel;
  const Clock& clock;
  std::mt19937_64& random;
  Hosts hosts;
  StringMap<std::int64_t> asked_ms;  ///< by server
  std::int64_t lent = 0;
  std::int64_t borrowed = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_SHARE_LOANS_H_
