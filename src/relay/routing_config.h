#ifndef MEADOWTHREAD_RELAY_ROUTING_CONFIG_H_
#define MEADOWTHREAD_RELAY_ROUTING_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "relay/relay_request.h"

namespace meadowthread {

/// @brief A service with the weight of its share of a route's requests.
struct WeightedService {
  std::string service;
  int weight = 1;
};

/// @brief Where requests for one host name and path prefix are sent, and the
/// rules for serving them.
struct RouteRule {
  std::string name;
  std::string host;         ///< lower case
  std::string path_prefix;  ///< starts and ends with a slash
  ExecutionRule rule = ExecutionRule::kOnce;
  std::int64_t timeout_ms = 0;
  std::int64_t target_latency_ms = 0;
  /// Longest pause between the events of a stream with which its answer is
  /// still in time; 0: not stated.
  std::int64_t max_event_gap_ms = 0;
  int urgency = 0;
  int max_attempts = 1;
  bool is_public = false;  ///< no API key is needed
  bool resumable = false;  ///< callers may resume a broken stream
  std::vector<WeightedService> services;
  /// The only regions in which its requests may run; empty: any.
  std::vector<std::string> home_regions;
};

/// @brief Properties of the model engines of a service.
struct EngineTraits {
  std::int64_t memory_tokens = 0;  ///< KV cache capacity of one engine
  /// Bytes of KV cache per token; they are copied when a run moves.
  std::int64_t token_bytes = 0;
  double link_mbps = 0.0;   ///< bandwidth of the link for KV cache copies
  bool moves_runs = false;  ///< engines can hand a run over to another engine
  std::int64_t tokens_per_event = 1;  ///< tokens in each event of a stream
  std::vector<std::string> models;
};

/// @brief Properties that all backend servers of one service share.
struct ServiceRule {
  std::string name;
  /// Limit for each backend server, over all callers; 0: no limit.
  int max_connections = 0;
  std::optional<EngineTraits> engine;
  /// Requests per second that a cold server can take; 0: no limit.
  double cold_per_s = 0.0;
};

/// @brief A workspace with the API keys of its callers.
struct WorkspaceRule {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> urgency;  ///< overrides the urgency of the routes
  /// The only regions in which the workspace's requests may run; empty: any.
  /// The limits of the route apply as well.
  std::vector<std::string> home_regions = {};
};

/// @brief Limits on requests from callers; 0: the host's own limit.
struct CallerLimits {
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  std::int64_t header_timeout_ms = 0;
  std::int64_t idle_timeout_ms = 0;
};

/// @brief A complete configuration of routes, services and workspaces.
struct RoutingConfig {
  std::string version;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  std::vector<WorkspaceRule> workspaces;
  /// Requests need an API key. True if the configuration has a list of
  /// workspaces, even an empty one.
  bool needs_keys = false;
  CallerLimits bounds;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ROUTING_CONFIG_H_
