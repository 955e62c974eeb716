#include "policy/server_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "base/rendezvous.h"

namespace meadowthread {
namespace {

// How long a lent request may be used.
constexpr std::int64_t kLoanMs = 300;

void DropUntil(std::int64_t until_ms, std::deque<std::int64_t>* times_ms) {
  while (!times_ms->empty() && times_ms->front() <= until_ms) {
    times_ms->pop_front();
  }
}

}  // namespace

ServerRateLimiter::HostShares ServerRateLimiter::DivideAmongHosts(
    std::string_view server, double per_s) const {
  HostShares shares;
  if (this->hosts.empty()) {
    return shares;
  }
  const auto whole_requests = static_cast<std::size_t>(std::floor(per_s));
  shares.base = static_cast<std::int64_t>(whole_requests / this->hosts.size());
  const std::size_t remainder = whole_requests % this->hosts.size();
  if (remainder == 0) {
    return shares;
  }
  std::vector<std::uint64_t> scores;
  scores.reserve(this->hosts.size());
  for (const std::string& host : this->hosts) {
    scores.push_back(RendezvousScore(host, server));
  }
  const auto last = scores.begin() + static_cast<std::ptrdiff_t>(remainder - 1);
  std::nth_element(scores.begin(), last, scores.end(), std::greater<>());
  shares.min_extra_score = *last;
  return shares;
}

void ServerRateLimiter::UpdateShares(std::string_view name,
                                     Server* server) const {
  server->cold_shares = this->DivideAmongHosts(name, server->rule.cold_per_s);
  server->warm_shares = this->DivideAmongHosts(name, server->rule.warm_per_s);
}

void ServerRateLimiter::SetHosts(std::span<const std::string> names) {
  if (std::equal(names.begin(), names.end(), this->hosts.begin(),
                 this->hosts.end())) {
    return;
  }
  this->hosts.assign(names.begin(), names.end());
  for (auto& [name, server] : this->servers) {
    this->UpdateShares(name, &server);
  }
}

void ServerRateLimiter::SetServer(std::string_view server,
                                  const ServerRateLimit& rule,
                                  std::int64_t cold_until_ms) {
  if (rule == ServerRateLimit{}) {
    this->Remove(server);
    return;
  }
  Server& entry = this->servers[std::string(server)];
  entry.cold_until_ms = cold_until_ms;
  if (entry.rule != rule) {
    entry.rule = rule;
    this->UpdateShares(server, &entry);
  }
}

void ServerRateLimiter::Remove(std::string_view server) {
  const auto found = this->servers.find(server);
  if (found != this->servers.end()) {
    this->servers.erase(found);
  }
}

const ServerRateLimiter::Server* ServerRateLimiter::Find(
    std::string_view server) const {
  const auto found = this->servers.find(server);
  return found == this->servers.end() ? nullptr : &found->second;
}

// Number of requests that the host may send within the window; empty if the
// rate is unlimited.
std::optional<std::int64_t> ServerRateLimiter::ShareOf(
    std::string_view host, std::string_view server, std::int64_t now_ms) const {
  const Server* const entry = this->Find(server);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const bool is_cold = now_ms < entry->cold_until_ms;
  const double per_s =
      is_cold ? entry->rule.cold_per_s : entry->rule.warm_per_s;
  if (per_s <= 0.0) {
    return std::nullopt;
  }
  const HostShares& shares = is_cold ? entry->cold_shares : entry->warm_shares;
  const bool gets_extra =
      RendezvousScore(host, server) >= shares.min_extra_score;
  return shares.base + (gets_extra ? 1 : 0);
}

// Requests sent while the server was warm count against its cold limit for as
// long as they are within the window.
bool ServerRateLimiter::May(std::string_view server,
                            std::int64_t now_ms) const {
  const std::optional<std::int64_t> share =
      this->ShareOf(this->self, server, now_ms);
  if (!share.has_value()) {
    return true;
  }
  const Server& entry = *this->Find(server);
  return InWindow(entry, now_ms) < *share ||
         (!entry.loans_until_ms.empty() &&
          now_ms < entry.loans_until_ms.back());
}

std::int64_t ServerRateLimiter::InWindow(const Server& server,
                                         std::int64_t now_ms) {
  return server.reserved +
         std::count_if(
             server.recent_sends_ms.begin(), server.recent_sends_ms.end(),
             [now_ms](std::int64_t sent) { return now_ms - sent < kWindowMs; });
}

bool ServerRateLimiter::HasShare(std::string_view host, std::string_view server,
                                 std::int64_t now_ms) const {
  return this->ShareOf(host, server, now_ms).value_or(1) > 0;
}

void ServerRateLimiter::NoteSent(std::string_view server, std::int64_t now_ms) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) {
    return;
  }
  Server& entry = found->second;
  entry.last_own_send_ms = now_ms;
  DropUntil(now_ms, &entry.loans_until_ms);
  const bool is_used_up = InWindow(entry, now_ms) >=
                          this->ShareOf(this->self, server, now_ms).value_or(0);
  if (is_used_up && !entry.loans_until_ms.empty()) {
    entry.loans_until_ms.pop_front();
    return;
  }
  DropUntil(now_ms - kWindowMs, &entry.recent_sends_ms);
  entry.recent_sends_ms.push_back(now_ms);
}

bool ServerRateLimiter::Lend(std::string_view server, std::int64_t now_ms) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) {
    return false;
  }
  Server& entry = found->second;
  const std::int64_t share =
      this->ShareOf(this->self, server, now_ms).value_or(0);
  if (InWindow(entry, now_ms) >= share ||
      now_ms < entry.last_own_send_ms + kWindowMs) {
    return false;
  }
  // The other host may use it only some time later.
  entry.recent_sends_ms.push_back(now_ms + kLoanMs + kLoanTransitMs);
  return true;
}

void ServerRateLimiter::AddLoan(std::string_view server, std::int64_t now_ms) {
  const auto found = this->servers.find(server);
  if (found != this->servers.end()) {
    found->second.loans_until_ms.push_back(now_ms + kLoanMs);
  }
}

void ServerRateLimiter::Hold(std::string_view server) {
  const auto found = this->servers.find(server);
  if (found != this->servers.end()) {
    ++found->second.reserved;
  }
}

void ServerRateLimiter::Release(std::string_view server) {
  const auto found = this->servers.find(server);
  if (found != this->servers.end()) {
    found->second.reserved = std::max(0, found->second.reserved - 1);
  }
}

}  // namespace meadowthread
