#include "permits/share_loans.h"

#include <algorithm>

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// With this many servers left within its own shares a host borrows nothing. A
// loan arrives before the next requests of even a busy host have used them up.
constexpr std::size_t kEnoughServers = 3;
// Number of hosts that are asked at a time: one of them may need its share, or
// the message may be lost.
constexpr std::size_t kAskedHosts = 2;
// An answer takes a few milliseconds. Until then the same server's shares are
// not asked for again.
constexpr std::int64_t kAskPeriodMs = 10;
// Servers that are gone are forgotten when there are more entries than this.
constexpr std::size_t kMaxAskedServers = 1'024;

}  // namespace

ShareLoans::ShareLoans(std::string_view self, ServerRateLimiter& limiter,
                       GossipChannel& channel, const Clock& clock,
                       std::mt19937_64& random, const Hosts& hosts)
    : self(self),
      limiter(limiter),
      channel(channel),
      clock(clock),
      random(random),
      hosts(hosts) {}

std::vector<std::string> ShareLoans::HostsWithShare(
    std::string_view server) const {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<std::string> lenders = this->hosts();
  std::erase_if(lenders, [this, server, now_ms](const std::string& host) {
    return host == this->self || !this->limiter.HasShare(host, server, now_ms);
  });
  return lenders;
}

void ShareLoans::PrepareFor(std::span<const std::string_view> servers) {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<std::string_view> used_up;
  std::size_t usable = 0;
  for (const std::string_view server : servers) {
    if (this->limiter.May(server, now_ms)) {
      ++usable;
    } else if (this->limiter.HasShare(this->self, server, now_ms)) {
      used_up.push_back(server);
    }
  }
  if (usable >= kEnoughServers) {
    return;
  }
  std::vector<std::string_view> chosen;
  std::sample(used_up.begin(), used_up.end(), std::back_inserter(chosen),
              kEnoughServers - usable, this->random);
  for (const std::string_view server : chosen) {
    this->Borrow(server);
  }
}

void ShareLoans::Borrow(std::string_view server) {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (this->asked_ms.size() > kMaxAskedServers) {
    this->asked_ms.clear();
  }
  const auto [asked, is_new] =
      this->asked_ms.try_emplace(std::string(server), now_ms);
  if (!is_new && now_ms - asked->second < kAskPeriodMs) {
    return;
  }
  asked->second = now_ms;
  const std::vector<std::string> lenders = this->HostsWithShare(server);
  std::vector<std::string> chosen;
  std::sample(lenders.begin(), lenders.end(), std::back_inserter(chosen),
              kAskedHosts, this->random);
  for (const std::string& host : chosen) {
    this->channel.SendToHost(kRequestTopic, json::array({server}), host);
  }
}

// A host that has itself sent to the server within the window keeps what is
// left of its share.
void ShareLoans::OnRequest(std::string_view host, const json& payload) {
  if (!payload.is_array() || payload.size() != 1 || !payload[0].is_string()) {
    LogLine("share-malformed").Add("host", host).WriteImportant();
    return;
  }
  const std::string server = payload[0].get<std::string>();
  if (!this->limiter.Lend(server, this->clock.MonotonicMs())) {
    return;
  }
  ++this->lent;
  this->channel.SendToHost(kLoanTopic, json::array({server}), host);
}

void ShareLoans::OnLoan(std::string_view host, const json& payload) {
  if (!payload.is_array() || payload.size() != 1 || !payload[0].is_string()) {
    LogLine("share-malformed").Add("host", host).WriteImportant();
    return;
  }
  const std::string server = payload[0].get<std::string>();
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const auto asked = this->asked_ms.find(server);
  // A late loan may be counted by its lender no more.
  if (asked == this->asked_ms.end() ||
      now_ms - asked->second > ServerRateLimiter::kLoanTransitMs) {
    return;
  }
  ++this->borrowed;
  this->limiter.AddLoan(server, now_ms);
  LogLine("share-borrowed").Add("server", server).Add("host", host).Write();
}

}  // namespace meadowthread
