#ifndef MEADOWTHREAD_RELAY_RELAY_REQUEST_H_
#define MEADOWTHREAD_RELAY_RELAY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "policy/home_regions.h"

namespace meadowthread {

/// @brief How often a request may run.
enum class RunRule {
  kRepeatable,  ///< idempotent: as often as needed
  kOnce,        ///< at most once
  kStream,      ///< at most once, and its answer is a series of events
};

/// @brief The rule's name in log lines.
std::string_view RunRuleName(RunRule rule);

/// @brief How large a generation is, as far as its caller tells.
struct GenerationSize {
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::int64_t hinted_output_tokens = 0;  ///< the caller's guess; 0: none
};

/// @brief One request of a caller, whatever interface it came by.
struct RelayRequest {
  std::string id;
  std::string method;
  std::string target;  ///< byte for byte
  std::string path;
  std::string host;  ///< lower case, without a port
  /// End-to-end headers that are passed on as they came.
  std::vector<HttpHeader> headers;
  std::string body;
  std::string key;              ///< a secret: never logged, never passed on
  std::int64_t begun_ms = 0;    ///< monotonic: when its first byte came
  std::int64_t allowed_ms = 0;  ///< its caller waits this long; 0: not told
  std::optional<GenerationSize> generation;
  /// Where the caller wants a broken stream to go on; empty: at its start.
  std::string resume_after;
};

/// @brief Under which terms a request is served.
struct RelayTerms {
  std::string route;
  std::string service;
  std::string workspace;  ///< empty: none
  RunRule rule = RunRule::kOnce;
  std::int64_t timeout_ms = 0;         ///< longest time it may be held
  std::int64_t target_latency_ms = 0;  ///< to the answer, or its first event
  int urgency = 0;                     ///< 0 is the most urgent
  int max_attempts = 1;                ///< backend servers it may be sent to
  bool resumable = false;              ///< callers may go on after a break
  std::string version;                 ///< of the configuration, for logs
  HomeRegions homes;                   ///< it may run nowhere else
  /// Unix time after which no byte of it may be sent any more: whoever takes
  /// over its claim relies on that; 0: no such bound.
  std::int64_t send_until_unix_ms = 0;
};

/// @brief The content's key of a request: the same for each try of it.
/// @complexity linear in the body
std::string ContentKeyOf(const RelayRequest& request, const RelayTerms& terms);

/// @brief Until when a request may be held, monotonic: the shorter of what its
/// route and its caller allow.
/// @param[in] default_limit_ms for a route that sets no limit
std::int64_t DeadlineMs(const RelayRequest& request, const RelayTerms& terms,
                        std::int64_t default_limit_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RELAY_REQUEST_H_
