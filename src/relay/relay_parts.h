#ifndef MEADOWTHREAD_RELAY_RELAY_PARTS_H_
#define MEADOWTHREAD_RELAY_RELAY_PARTS_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

#include "base/clock.h"
#include "base/scheduler.h"
#include "net/http_client.h"
#include "policy/arrival_limits.h"
#include "policy/dispatcher.h"
#include "policy/engine_allocation.h"
#include "policy/first_try.h"
#include "policy/fleet_state.h"
#include "policy/link_quality.h"
#include "policy/stream_admission.h"
#include "quarantine/guarded_run.h"
#include "quarantine/quarantine.h"
#include "relay/backend_health.h"
#include "relay/backend_list.h"
#include "relay/backend_wire.h"
#include "relay/relay_observer.h"
#include "relay/retry_budgets.h"

namespace meadowthread {

/// @brief Longest time to connect to a backend server. A dead one is noticed by
/// its silence: within a region an answer to a connection takes a few
/// milliseconds, and a lost packet costs one more try.
inline constexpr std::int64_t kBackendConnectMs = 250;

/// @brief Backend servers in a row that a request may find unreachable.
inline constexpr int kMostUnreachable = 3;

/// @brief When to come back where the availability zones of all servers are
/// emptied: operators take them back after seconds at the earliest.
inline constexpr std::int64_t kEmptiedRetryMs = 2'000;

/// @brief What the sessions of a relay work with; all outlive it.
struct RelayParts {
  const Clock& clock;
  Scheduler& scheduler;
  HttpClient& client;
  const BackendWire& wire;
  BackendList& backends;
  BackendHealth& health;
  RetryBudgets& budgets;
  RelayObserver& observer;
  Quarantine& quarantine;
  ArrivalLimits& arrivals;
  std::mt19937_64& random;
};

/// @brief The server for the quarantine's records; nullopt where it is not
/// known, or has told that it leaves.
std::optional<RunServer> UnannouncedServer(const BackendList& backends,
                                           std::string_view key);

/// @brief What streams need besides.
struct StreamParts {
  EngineAllocation& allocation;
  Dispatcher& dispatcher;
  FleetState& fleet;
  FirstTry& first_tries;
  const StreamAdmission& admission;
  LinkQuality& links;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RELAY_PARTS_H_
