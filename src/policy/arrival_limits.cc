#include "policy/arrival_limits.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "xxhash.h"

namespace meadowthread {

// Rendezvous hashing: a host that comes or goes changes the part of one other.
std::uint64_t ArrivalLimits::ScoreOf(std::string_view host,
                                     std::string_view server) {
  const std::uint64_t seed = XXH64(server.data(), server.size(), 0);
  return XXH64(host.data(), host.size(), seed);
}

ArrivalLimits::Parts ArrivalLimits::ShareOut(std::string_view server,
                                             double per_s) const {
  Parts parts;
  if (this->hosts.empty()) {
    return parts;
  }
  const auto requests = static_cast<std::size_t>(std::floor(per_s));
  parts.each = static_cast<std::int64_t>(requests / this->hosts.size());
  const std::size_t rest = requests % this->hosts.size();
  if (rest == 0) {
    return parts;
  }
  std::vector<std::uint64_t> scores;
  scores.reserve(this->hosts.size());
  for (const std::string& host : this->hosts) {
    scores.push_back(ScoreOf(host, server));
  }
  const auto last = scores.begin() + static_cast<std::ptrdiff_t>(rest - 1);
  std::nth_element(scores.begin(), last, scores.end(), std::greater<>());
  parts.least_score = *last;
  return parts;
}

void ArrivalLimits::ShareOutRule(std::string_view name, Server* server) const {
  server->cold = this->ShareOut(name, server->rule.cold_per_s);
  server->warm = this->ShareOut(name, server->rule.warm_per_s);
}

void ArrivalLimits::SetHosts(std::span<const std::string> names) {
  if (std::equal(names.begin(), names.end(), this->hosts.begin(),
                 this->hosts.end())) {
    return;
  }
  this->hosts.assign(names.begin(), names.end());
  for (auto& [name, server] : this->servers) {
    this->ShareOutRule(name, &server);
  }
}

void ArrivalLimits::SetServer(std::string_view server, const ArrivalRule& rule,
                              std::int64_t cold_until_ms) {
  if (rule == ArrivalRule{}) {
    this->Remove(server);
    return;
  }
  Server& known = this->servers[std::string(server)];
  known.cold_until_ms = cold_until_ms;
  if (known.rule != rule) {
    known.rule = rule;
    this->ShareOutRule(server, &known);
  }
}

void ArrivalLimits::Remove(std::string_view server) {
  const auto found = this->servers.find(server);
  if (found != this->servers.end()) {
    this->servers.erase(found);
  }
}

const ArrivalLimits::Server* ArrivalLimits::Find(
    std::string_view server) const {
  const auto found = this->servers.find(server);
  return found == this->servers.end() ? nullptr : &found->second;
}

// None where any number may be sent.
std::optional<std::int64_t> ArrivalLimits::PartOf(std::string_view host,
                                                  std::string_view server,
                                                  std::int64_t now_ms) const {
  const Server* const known = this->Find(server);
  if (known == nullptr) {
    return std::nullopt;
  }
  const bool is_cold = now_ms < known->cold_until_ms;
  const double per_s =
      is_cold ? known->rule.cold_per_s : known->rule.warm_per_s;
  if (per_s <= 0.0) {
    return std::nullopt;
  }
  const Parts& parts = is_cold ? known->cold : known->warm;
  const bool has_one_more = ScoreOf(host, server) >= parts.least_score;
  return parts.each + (has_one_more ? 1 : 0);
}

// What was sent while it was warm counts in the same second as what is sent
// now that it is cold.
bool ArrivalLimits::May(std::string_view server, std::int64_t now_ms) const {
  const std::optional<std::int64_t> part =
      this->PartOf(this->self, server, now_ms);
  if (!part.has_value()) {
    return true;
  }
  const Server& known = *this->Find(server);
  const auto recent = std::count_if(
      known.sent_ms.begin(), known.sent_ms.end(),
      [now_ms](std::int64_t sent) { return now_ms - sent < kWindowMs; });
  return recent + known.held < *part;
}

bool ArrivalLimits::HasPart(std::string_view host, std::string_view server,
                            std::int64_t now_ms) const {
  return this->PartOf(host, server, now_ms).value_or(1) > 0;
}

void ArrivalLimits::NoteSent(std::string_view server, std::int64_t now_ms) {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) {
    return;
  }
  std::deque<std::int64_t>& sent_ms = found->second.sent_ms;
  while (!sent_ms.empty() && now_ms - sent_ms.front() >= kWindowMs) {
    sent_ms.pop_front();
  }
  sent_ms.push_back(now_ms);
}

void ArrivalLimits::Hold(std::string_view server) {
  const auto found = this->servers.find(server);
  if (found != this->servers.end()) {
    ++found->second.held;
  }
}

void ArrivalLimits::Release(std::string_view server) {
  const auto found = this->servers.find(server);
  if (found != this->servers.end()) {
    found->second.held = std::max(0, found->second.held - 1);
  }
}

}  // namespace meadowthread
