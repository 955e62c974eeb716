#ifndef MEADOWTHREAD_RELAY_RELAY_REQUEST_H_
#define MEADOWTHREAD_RELAY_RELAY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "policy/allowed_regions.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief How often a request may be executed.
enum class ExecutionRule {
  kRepeatable,  ///< idempotent: any number of times
  kOnce,        ///< at most once
  kStream,      ///< at most once; the answer is a stream of events
};

/// @brief The name of the rule in log lines.
std::string_view ExecutionRuleName(ExecutionRule rule);

/// @brief Size of a generation as stated by the caller.
struct GenerationSize {
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::int64_t hinted_output_tokens = 0;  ///< the caller's estimate; 0: none
};

/// @brief A caller's request, independent of the interface it arrived on.
struct RelayRequest {
  std::string id;
  std::string method;
  std::string target;  ///< request target exactly as received
  std::string path;
  std::string host;  ///< lower case, without the port
  /// End-to-end headers, forwarded unchanged.
  std::vector<HttpHeader> headers;
  SharedBytes body;
  std::string key;            ///< API key; secret, neither logged nor forwarded
  std::int64_t begun_ms = 0;  ///< monotonic time of the first byte
  std::int64_t allowed_ms = 0;  ///< how long the caller waits; 0: not stated
  std::optional<GenerationSize> generation;
  /// IDs of the parts of the prompt that other requests may share, in order,
  /// each once; without the last part, which is the request's own.
  std::vector<std::string> shared_parts;
  /// Event ID after which the caller wants to resume a broken stream; empty:
  /// from the start.
  std::string resume_after;
};

/// @brief The rules that a request is served under, resolved from its route and
/// workspace.
struct RelayTerms {
  std::string route;
  std::string service;
  std::string workspace;  ///< empty: none
  ExecutionRule rule = ExecutionRule::kOnce;
  std::int64_t timeout_ms = 0;         ///< longest time the request may take
  std::int64_t target_latency_ms = 0;  ///< until the answer or the first event
  std::int64_t max_event_gap_ms = 0;   ///< of a stream in time; 0: any
  int urgency = 0;                     ///< 0 is the most urgent
  int max_attempts = 1;            ///< backend servers that it may be sent to
  bool resumable = false;          ///< callers may resume a broken stream
  std::string version;             ///< of the configuration, for logs
  AllowedRegions allowed_regions;  ///< the only regions it may run in
  /// Unix time after which no byte of the request may be sent; 0: no limit.
  /// After this time another host may take over the request's claim and send
  /// the request itself, so this host must not.
  std::int64_t send_until_unix_ms = 0;
};

/// @brief The most tokens that a request may generate; 0: not known.
std::int64_t MaxOutputTokens(const RelayRequest& request);

/// @brief The urgency of a request among the work of its service.
Urgency UrgencyOf(const RelayTerms& terms);

/// @brief Key of the request's content, equal for every attempt of the same
/// request.
/// @complexity linear in the body
std::string ContentKeyOf(const RelayRequest& request, const RelayTerms& terms);

/// @brief Deadline of a request in monotonic time: the shorter of the limits
/// set by its route and its caller.
/// @param[in] default_limit_ms for a route that sets no limit
std::int64_t DeadlineMs(const RelayRequest& request, const RelayTerms& terms,
                        std::int64_t default_limit_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RELAY_REQUEST_H_
