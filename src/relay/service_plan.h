#ifndef MEADOWTHREAD_RELAY_SERVICE_PLAN_H_
#define MEADOWTHREAD_RELAY_SERVICE_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "relay/relay_request.h"

namespace meadowthread {

/// @brief A service with its part of a route's requests.
struct WeightedService {
  std::string service;
  int weight = 1;
};

/// @brief Where requests of one host and path prefix go, and under which terms.
struct RouteRule {
  std::string name;
  std::string host;         ///< lower case
  std::string path_prefix;  ///< begins and ends with a slash
  RunRule rule = RunRule::kOnce;
  std::int64_t timeout_ms = 0;
  std::int64_t target_latency_ms = 0;
  int urgency = 0;
  int max_attempts = 1;
  bool is_public = false;  ///< no key is needed
  bool resumable = false;  ///< callers may go on after a break
  std::vector<WeightedService> services;
  std::vector<std::string> home_regions;  ///< it runs nowhere else; none: any
};

/// @brief What is known of a service's model engines.
struct EngineTraits {
  std::int64_t memory_tokens = 0;
  std::int64_t token_bytes = 0;       ///< of memory, moved with a run
  double link_mbps = 0.0;             ///< on which memory is moved
  bool moves_runs = false;            ///< runs can go on elsewhere
  std::int64_t tokens_per_event = 1;  ///< of a stream
  std::vector<std::string> models;
};

/// @brief A service's backend servers as a kind.
struct ServiceRule {
  std::string name;
  int max_connections = 0;  ///< of one backend server, over all callers; 0: any
  std::optional<EngineTraits> engine;
  /// Requests a second that a cold server withstands; 0: any number.
  double cold_per_s = 0.0;
};

/// @brief A workspace with the keys of its callers.
struct WorkspaceRule {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> urgency;                  ///< in place of the routes'
  std::vector<std::string> home_regions = {};  ///< as of a route; both bind
};

/// @brief What callers may send; 0: the host's own bound.
struct CallerBounds {
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  std::int64_t header_timeout_ms = 0;
  std::int64_t idle_timeout_ms = 0;
};

/// @brief One whole configuration of routes and services.
struct ServicePlan {
  std::string version;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  std::vector<WorkspaceRule> workspaces;
  bool needs_keys = false;  ///< workspaces are configured, even if none is left
  CallerBounds bounds;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_SERVICE_PLAN_H_
