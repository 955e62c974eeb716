#include "relay/active_routing_config.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "base/error.h"
#include "base/log_line.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

// Retry delay for callers while this host has no configuration. It usually gets
// one within this time, as the store answers within milliseconds.
constexpr std::int64_t kNoConfigRetryMs = 500;

absl::Status Refused(ErrorId id, absl::StatusCode code, std::string_view step,
                     std::string_view what) {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = Outcome::kNotRun;
  detail.step = std::string(step);
  detail.peer = "caller";
  if (id == ErrorId::kHostNotReady) {
    detail.retry_after_ms = kNoConfigRetryMs;
  }
  return MakeError(code, detail, what);
}

// Picks a service at random by weight; the first one if no weight is positive.
const std::string& Draw(std::span<const WeightedService> services,
                        std::uint64_t random) {
  std::uint64_t sum = 0;
  for (const WeightedService& one : services) {
    sum += static_cast<std::uint64_t>(std::max(0, one.weight));
  }
  std::uint64_t at = sum == 0 ? 0 : random % sum;
  for (const WeightedService& one : services) {
    const auto weight = static_cast<std::uint64_t>(std::max(0, one.weight));
    if (at < weight) {
      return one.service;
    }
    at -= weight;
  }
  return services.front().service;
}

}  // namespace

/// @brief A configuration with lookup tables that point into it.
struct ActiveRoutingConfig::Index {
  RoutingConfig config;
  StringMap<std::vector<const RouteRule*>> routes;  ///< longest prefix first
  StringMap<const WorkspaceRule*> keys;
  StringMap<const ServiceRule*> services;
};

ActiveRoutingConfig::ActiveRoutingConfig() = default;
ActiveRoutingConfig::~ActiveRoutingConfig() = default;

bool ActiveRoutingConfig::Activate(RoutingConfig config,
                                   std::int64_t at_revision) {
  if (this->index != nullptr && at_revision <= this->revision) {
    return false;
  }
  if (this->IsOfOlderCopy(config, at_revision)) {
    LogLine("plan-held")
        .Add("in_force", this->index->config.version)
        .Add("offered", config.version)
        .Add("in_force_revision", RevisionText(this->revision))
        .Add("offered_revision", RevisionText(at_revision))
        .WriteImportant();
    return false;
  }
  auto next = std::make_unique<Index>();
  next->config = std::move(config);
  for (const RouteRule& route : next->config.routes) {
    next->routes[route.host].push_back(&route);
  }
  for (auto& [host, routes] : next->routes) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteRule* left, const RouteRule* right) {
                       return left->path_prefix.size() >
                              right->path_prefix.size();
                     });
  }
  for (const WorkspaceRule& workspace : next->config.workspaces) {
    for (const std::string& key : workspace.keys) {
      next->keys[key] = &workspace;
    }
  }
  for (const ServiceRule& service : next->config.services) {
    next->services[service.name] = &service;
  }
  this->index = std::move(next);
  this->revision = at_revision;
  LogLine line("plan");
  line.Add("version", this->index->config.version)
      .Add("revision", RevisionText(at_revision))
      .Add("routes", this->index->config.routes.size())
      .Add("keys", this->index->keys.size())
      .WriteImportant();
  for (const Listener& listener : this->listeners) {
    listener();
  }
  return true;
}

// Only numbers can be told to be lower; others are ordered by the store alone.
bool ActiveRoutingConfig::IsOfOlderCopy(const RoutingConfig& config,
                                        std::int64_t at_revision) const {
  if (this->index == nullptr || EraOf(at_revision) == EraOf(this->revision)) {
    return false;
  }
  std::int64_t offered = 0;
  std::int64_t in_force = 0;
  return absl::SimpleAtoi(config.version, &offered) &&
         absl::SimpleAtoi(this->index->config.version, &in_force) &&
         offered < in_force;
}

const RoutingConfig* ActiveRoutingConfig::Config() const {
  return this->index == nullptr ? nullptr : &this->index->config;
}

const RouteRule* ActiveRoutingConfig::FindRoute(std::string_view host,
                                                std::string_view path) const {
  const auto found = this->index->routes.find(host);
  if (found == this->index->routes.end()) {
    return nullptr;
  }
  for (const RouteRule* const route : found->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const ServiceRule* ActiveRoutingConfig::FindService(
    std::string_view name) const {
  if (this->index == nullptr) {
    return nullptr;
  }
  const auto found = this->index->services.find(name);
  return found == this->index->services.end() ? nullptr : found->second;
}

absl::StatusOr<RelayTerms> ActiveRoutingConfig::TermsOf(
    const RelayRequest& request, std::uint64_t random) const {
  if (this->index == nullptr) {
    return Refused(ErrorId::kHostNotReady, absl::StatusCode::kUnavailable,
                   "route", "this host knows no configuration yet");
  }
  const RouteRule* const route = this->FindRoute(request.host, request.path);
  if (route == nullptr || route->services.empty()) {
    return Refused(ErrorId::kNotFound, absl::StatusCode::kNotFound, "route",
                   "no route matches this host name and path");
  }
  const auto holder = this->index->keys.find(request.key);
  const bool known = holder != this->index->keys.end();
  if (!known && this->index->config.needs_keys && !route->is_public) {
    return Refused(ErrorId::kUnknownKey, absl::StatusCode::kUnauthenticated,
                   "identify", "the key belongs to no workspace");
  }
  RelayTerms terms;
  terms.route = route->name;
  terms.service = Draw(route->services, random);
  terms.rule = route->rule;
  terms.timeout_ms = route->timeout_ms;
  terms.target_latency_ms = route->target_latency_ms;
  terms.max_event_gap_ms = route->max_event_gap_ms;
  terms.urgency = route->urgency;
  terms.max_attempts = std::max(1, route->max_attempts);
  terms.resumable = route->resumable;
  terms.version = this->index->config.version;
  const WorkspaceRule* const workspace = known ? holder->second : nullptr;
  if (workspace != nullptr) {
    terms.workspace = workspace->name;
    terms.urgency = workspace->urgency.value_or(route->urgency);
  }
  terms.allowed_regions = AllowedRegionsOf(
      route->home_regions,
      workspace != nullptr
          ? std::span<const std::string>(workspace->home_regions)
          : std::span<const std::string>());
  return terms;
}

}  // namespace meadowthread
