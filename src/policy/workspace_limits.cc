#include "policy/workspace_limits.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

constexpr double kMsPerSecond = 1'000.0;
// Time constant of the exponential average of the offered load.
constexpr double kOfferedWindowMs = 10'000.0;
// Peers' reports older than this are ignored.
constexpr std::int64_t kMaxPeerAgeMs = 15'000;
// A token bucket holds as much as its rate yields in this many seconds, and at
// least one request.
constexpr double kBurstSeconds = 2.0;
// This fraction of a rate is divided evenly among the hosts whatever load they
// are offered, so that a host that gets its first request of a workspace can
// admit it without waiting for peers' reports.
constexpr double kEvenFraction = 0.2;
constexpr std::int64_t kConcurrentRetryMs = 1'000;
constexpr std::int64_t kMaxRetryMs = 60'000;

double Decay(std::int64_t from_ms, std::int64_t to_ms) {
  return std::exp(-static_cast<double>(to_ms - from_ms) / kOfferedWindowMs);
}

std::int64_t AddJitter(double base_ms, std::uint64_t random) {
  constexpr double kScale = 0x1.0p-64;
  const double factor = 1.0 + static_cast<double>(random) * kScale;
  const double jittered = base_ms * factor;
  return static_cast<std::int64_t>(
      std::min(jittered, static_cast<double>(kMaxRetryMs)));
}

}  // namespace

std::string_view LimitReachedName(LimitReached limit) {
  switch (limit) {
    case LimitReached::kNone:
      return "none";
    case LimitReached::kRequests:
      return "requests";
    case LimitReached::kTokens:
      return "tokens";
    case LimitReached::kConcurrent:
      return "concurrent";
  }
  return "unknown";
}

void WorkspaceLimits::SetLimit(std::string_view workspace,
                               const WorkspaceLimit& limit) {
  this->workspaces[std::string(workspace)].limit = limit;
}

void WorkspaceLimits::SetHosts(int hosts) { this->hosts = std::max(1, hosts); }

LimitDecision WorkspaceLimits::Admit(std::string_view workspace,
                                     std::int64_t tokens, std::int64_t now_ms,
                                     std::uint64_t random) {
  const auto found = this->workspaces.find(workspace);
  if (found == this->workspaces.end()) {
    return {};
  }
  Workspace& state = found->second;
  RecordOffered(state, tokens, now_ms);
  const WorkspaceLimit& limit = state.limit;
  const double share = this->ShareOf(state, now_ms);
  const double request_rate = limit.requests_per_second * share;
  const double token_rate = limit.tokens_per_second * share;
  Refill(state.requests, request_rate, now_ms);
  Refill(state.tokens, token_rate, now_ms);
  if (limit.concurrent > 0 &&
      state.in_flight >= this->AllowedInFlight(state, now_ms)) {
    return {LimitReached::kConcurrent, AddJitter(kConcurrentRetryMs, random)};
  }
  if (request_rate > 0.0 && state.requests.level < 1.0) {
    return {LimitReached::kRequests,
            WaitMs(state.requests, request_rate, random)};
  }
  // A token bucket above zero admits work of any size and may become negative:
  // a long output may exceed the burst size, but delays later work.
  if (token_rate > 0.0 && state.tokens.level <= 0.0) {
    return {LimitReached::kTokens, WaitMs(state.tokens, token_rate, random)};
  }
  state.requests.level -= 1.0;
  state.tokens.level -= static_cast<double>(tokens);
  ++state.in_flight;
  return {};
}

void WorkspaceLimits::Ended(std::string_view workspace, std::int64_t expected,
                            std::int64_t used) {
  const auto found = this->workspaces.find(workspace);
  if (found == this->workspaces.end()) {
    return;
  }
  Workspace& state = found->second;
  state.in_flight = std::max(0, state.in_flight - 1);
  state.tokens.level += static_cast<double>(expected - used);
}

void WorkspaceLimits::NotePeerUse(const PeerWorkspaceUsage& use) {
  const auto found = this->workspaces.find(use.workspace);
  if (found == this->workspaces.end()) {
    return;
  }
  for (PeerWorkspaceUsage& known : found->second.peers) {
    if (known.peer == use.peer) {
      if (known.as_of_unix_ms <= use.as_of_unix_ms) {
        known = use;
      }
      return;
    }
  }
  found->second.peers.push_back(use);
}

std::vector<PeerWorkspaceUsage> WorkspaceLimits::OwnUse(std::string_view self,
                                                        std::int64_t now_ms) {
  constexpr double kNegligibleRequests = 0.05;
  std::vector<PeerWorkspaceUsage> uses;
  for (const auto& [name, state] : this->workspaces) {
    const double decay = Decay(state.offered.at_ms, now_ms);
    const double requests = state.offered.requests * decay;
    if (requests < kNegligibleRequests && state.in_flight == 0) {
      continue;
    }
    const double seconds = kOfferedWindowMs / kMsPerSecond;
    PeerWorkspaceUsage use;
    use.peer = std::string(self);
    use.workspace = name;
    use.as_of_unix_ms = now_ms;
    use.requests_per_second = requests / seconds;
    use.tokens_per_second = state.offered.tokens * decay / seconds;
    use.in_flight = state.in_flight;
    uses.push_back(use);
  }
  return uses;
}

double WorkspaceLimits::Share(std::string_view workspace,
                              std::int64_t now_ms) const {
  const auto found = this->workspaces.find(workspace);
  return found == this->workspaces.end() ? 1.0
                                         : this->ShareOf(found->second, now_ms);
}

double WorkspaceLimits::ShareOf(const Workspace& workspace,
                                std::int64_t now_ms) const {
  const double even_share = 1.0 / this->hosts;
  double peers = 0.0;
  bool has_reports = false;
  for (const PeerWorkspaceUsage& use : workspace.peers) {
    if (use.as_of_unix_ms + kMaxPeerAgeMs >= now_ms) {
      peers += use.requests_per_second;
      has_reports = true;
    }
  }
  const double own = workspace.offered.requests *
                     Decay(workspace.offered.at_ms, now_ms) /
                     (kOfferedWindowMs / kMsPerSecond);
  // Without any peer report, for instance if this host is cut off from its
  // peers, an even share keeps the sum over all hosts within the limit.
  if (!has_reports || own + peers <= 0.0) {
    return even_share;
  }
  return kEvenFraction * even_share +
         (1.0 - kEvenFraction) * own / (own + peers);
}

int WorkspaceLimits::AllowedInFlight(const Workspace& workspace,
                                     std::int64_t now_ms) const {
  int peers = 0;
  bool has_reports = false;
  for (const PeerWorkspaceUsage& use : workspace.peers) {
    if (use.as_of_unix_ms + kMaxPeerAgeMs >= now_ms) {
      peers += use.in_flight;
      has_reports = true;
    }
  }
  const int even_share = std::max(1, workspace.limit.concurrent / this->hosts);
  return has_reports ? std::max(0, workspace.limit.concurrent - peers)
                     : even_share;
}

void WorkspaceLimits::RecordOffered(Workspace& workspace, std::int64_t tokens,
                                    std::int64_t now_ms) {
  OfferedLoad& offered = workspace.offered;
  const double decay = Decay(offered.at_ms, now_ms);
  offered.requests = offered.requests * decay + 1.0;
  offered.tokens = offered.tokens * decay + static_cast<double>(tokens);
  offered.at_ms = now_ms;
}

void WorkspaceLimits::Refill(TokenBucket& bucket, double per_second,
                             std::int64_t now_ms) {
  const double capacity = std::max(1.0, per_second * kBurstSeconds);
  if (!bucket.initialized) {
    bucket.initialized = true;
    bucket.level = capacity;
    bucket.refilled_ms = now_ms;
    return;
  }
  const auto since = static_cast<double>(now_ms - bucket.refilled_ms);
  const double refilled = bucket.level + per_second * since / kMsPerSecond;
  bucket.level = std::min(capacity, refilled);
  bucket.refilled_ms = now_ms;
}

std::int64_t WorkspaceLimits::WaitMs(const TokenBucket& bucket,
                                     double per_second, std::uint64_t random) {
  const double missing = std::max(0.0, 1.0 - bucket.level);
  return AddJitter(missing / per_second * kMsPerSecond, random);
}

}  // namespace meadowthread
