#ifndef MEADOWTHREAD_RELAY_RELAY_DEPENDENCIES_H_
#define MEADOWTHREAD_RELAY_RELAY_DEPENDENCIES_H_

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "base/clock.h"
#include "base/scheduler.h"
#include "net/http_client.h"
#include "policy/dispatcher.h"
#include "policy/engine_allocation.h"
#include "policy/first_attempt_time_estimator.h"
#include "policy/fleet_state.h"
#include "policy/link_quality.h"
#include "policy/requested_backoffs.h"
#include "policy/server_notice.h"
#include "policy/server_permits.h"
#include "policy/server_rate_limiter.h"
#include "policy/stop_admission.h"
#include "policy/stream_admission.h"
#include "quarantine/quarantine.h"
#include "quarantine/request_quarantine.h"
#include "relay/answer_memory.h"
#include "relay/backend_health.h"
#include "relay/backend_list.h"
#include "relay/backend_protocol.h"
#include "relay/relay_observer.h"
#include "relay/retry_budgets.h"
#include "rollout/version_gate.h"

namespace meadowthread {

/// @brief Connection timeout for backend servers. A dead server is noticed only
/// because it does not answer. Within a region connections take a few
/// milliseconds, and the timeout leaves time to retransmit one lost packet.
inline constexpr std::int64_t kBackendConnectMs = 250;

/// @brief Largest number of consecutive unreachable backend servers that one
/// request tries.
inline constexpr int kMaxUnreachableAttempts = 3;

/// @brief Retry delay for callers when all servers of a service are in
/// availability zones that an operator has emptied: operators put zones back
/// into use after some seconds at the earliest.
inline constexpr std::int64_t kEmptiedZoneRetryMs = 2'000;

/// @brief Dependencies of the sessions of a relay; all outlive it.
struct RelayDependencies {
  const Clock& clock;
  Scheduler& scheduler;
  HttpClient& client;
  const BackendProtocol& wire;
  BackendList& backends;
  BackendHealth& health;
  RetryBudgets& budgets;
  RelayObserver& observer;
  Quarantine& quarantine;
  ServerRateLimiter& arrivals;
  std::mt19937_64& random;
  VersionGate& versions;
  ServerPermits& permits;
  RequestedBackoffs& backoffs;
  StopAdmission& stops;
  AnswerMemory& answer_memory;
};

/// @brief The server as the quarantine records it; nullopt if it is unknown or
/// has announced that it leaves, as its end is then not blamed on a request.
std::optional<ServerInstance> ServerUnlessLeaving(const BackendList& backends,
                                                  std::string_view key);

/// @brief A request's attempt whose answer has begun to arrive.
struct AnswerHead {
  std::string_view server;   ///< key of the server that it was sent to
  std::int64_t sent_ms = 0;  ///< monotonic
  int http_status = 0;
  AnswerMeaning meaning = AnswerMeaning::kRan;
  std::span<const HttpHeader> headers;
};

/// @brief Learns what an answer says of the server: its rate, whether it wants
/// no requests for a time, and whether it leaves.
void NoteAnswerHead(const RelayDependencies& deps, const AnswerHead& head);

/// @brief Where a server's notices take effect.
struct NoticeTargets {
  const Clock& clock;
  RequestedBackoffs& backoffs;
  BackendList& backends;
};

/// @brief Applies what an answer of a server says about requests to come.
/// @param[in] server its key
void ApplyNotice(const NoticeTargets& targets, std::string_view server,
                 const ServerNotice& notice);

/// @brief How long all servers of a service that may get the request are held
/// back: by the rates that they name, or by the backoff that they have asked
/// for.
/// @return nullopt if one of them is not
std::optional<std::int64_t> HeldBackMs(const RelayDependencies& deps,
                                       const RelayTerms& terms,
                                       const VersionRule& versions);

/// @brief How an attempt at a backend server ended, or how its stream began.
struct AttemptEnd {
  std::string_view server;  ///< its key
  std::string_view route;
  AttemptResult result = AttemptResult::kGood;
  std::int64_t sent_ms = 0;  ///< monotonic
  /// RecordFirstEvent was called for it.
  bool has_begun = false;
  /// Time until the answer or the first event; -1: not known.
  std::int64_t first_ms = -1;
  std::int64_t gap_ms = -1;  ///< mean time between events; -1: not known
};

/// @brief The result of an attempt that ended without a whole answer.
AttemptResult ResultOfFailure(const HttpCallResult& end);

/// @brief Records the end of an attempt, as evidence on the server's health and
/// on its version.
void RecordAttempt(const RelayDependencies& deps, const AttemptEnd& end);

/// @brief Records the first event of a stream, as evidence on the server's
/// version; `result` and `gap_ms` do not count.
void RecordFirstEvent(const RelayDependencies& deps, const AttemptEnd& begun);

/// @brief Further dependencies of streams.
struct StreamDependencies {
  EngineAllocation& allocation;
  Dispatcher& dispatcher;
  FleetState& fleet;
  FirstAttemptTimeEstimator& first_tries;
  const StreamAdmission& admission;
  LinkQuality& links;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RELAY_DEPENDENCIES_H_
