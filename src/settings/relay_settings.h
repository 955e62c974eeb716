#ifndef MEADOWTHREAD_SETTINGS_RELAY_SETTINGS_H_
#define MEADOWTHREAD_SETTINGS_RELAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace meadowthread {

/// @brief Ports that this host listens on besides those in HostSettings, on the
/// same address.
struct RelayListenSettings {
  int ready_port = 0;    ///< readiness endpoint: whether it accepts traffic
  int loads_port = 0;    ///< UDP: load reports of other hosts
  int metrics_port = 0;  ///< serves counters and gauges; 0: disabled

  friend bool operator==(const RelayListenSettings&,
                         const RelayListenSettings&) = default;
};

/// @brief Retry budget for a service, over all hosts together.
struct RelayRetrySettings {
  double per_request = 0.1;  ///< retries per request to the service
  double extra = 10.0;       ///< further retries per counting window

  friend bool operator==(const RelayRetrySettings&,
                         const RelayRetrySettings&) = default;
};

/// @brief Time and resource limits of the process.
struct RelayBoundSettings {
  double grace_s = 8.0;  ///< from the stop signal until the process is killed
  int descriptors = 4'096;
  std::int64_t memory_mb = 128;
  /// Time within which a changed configuration in the store takes effect.
  std::int64_t change_ms = 2'000;
  /// Time within which a server that is leaving gets no new requests.
  std::int64_t leaving_ms = 2'000;
  /// Time within which a drained availability zone gets no new requests.
  std::int64_t emptying_ms = 5'000;
  /// The limits above apply again this long after a disturbance of the store or
  /// of connections has ended.
  std::int64_t settle_ms = 3'000;
  /// A server may get at most this multiple of the request rate that it can
  /// withstand while it is cold.
  double cold_over = 1.0;

  friend bool operator==(const RelayBoundSettings&,
                         const RelayBoundSettings&) = default;
};

/// @brief Limits on what a version of a service's software that turns out to be
/// bad may get during a rollout, over all hosts together.
struct RelayRolloutSettings {
  /// Share of the service's requests; 0: rollouts are not handled.
  double max_bad_share = 0.0;
  double max_bad_requests = 0.0;  ///< requests beyond that share

  friend bool operator==(const RelayRolloutSettings&,
                         const RelayRolloutSettings&) = default;
};

/// @brief The policy for streams. The switches exist to measure the effect of
/// each part; docs/OPERATIONS.md describes them.
struct RelayPolicySettings {
  bool refuses_late = true;  ///< refuse streams that will miss their target
  bool lets_returned_wait = true;  ///< let streams refused before wait for room
  bool spreads_returns = true;     ///< spread retries over Retry-After times
  bool avoids_bad_links = true;    ///< avoid engines behind stalling links
  bool stops_are_told = true;      ///< use the return times of stopping hosts
  bool staggers_watches = true;  ///< spread the watch calls of hosts over time
  double memory_limit = 0.8;     ///< share of an engine's memory, for long work
  double late_work_part = 0.7;  ///< share of both limits, for work already late
  /// Share of the memory in use at present, for short work.
  double short_work_limit = 0.9;
  /// Up to this number of hosts, every host reports all its work to the others;
  /// beyond it, one host per group of engines allocates places.
  int direct_hosts = 32;
  /// Limits the load on engines also while they are warm, as they may become
  /// cold before hosts learn of it. Off: only while they are known to be cold.
  bool guards_warm = true;
  /// Choose engines by how fast each one generates; if not, all count as
  /// equally fast.
  bool measures_engine_speeds = true;

  friend bool operator==(const RelayPolicySettings&,
                         const RelayPolicySettings&) = default;
};

/// @brief All settings of a relay host, read at its start.
struct RelaySettings {
  HostSettings host;
  /// The region of each availability zone.
  std::map<std::string, std::string> regions;
  RelayListenSettings listen;
  std::string store;  ///< URL of the platform's object store
  RelayRetrySettings retries;
  RelayBoundSettings bounds;
  RelayRolloutSettings rollouts;
  RelayPolicySettings policy;
  HostExchangeSettings exchange;

  friend bool operator==(const RelaySettings&, const RelaySettings&) = default;
};

/// @brief Relay settings, or all problems found in them.
using ParsedRelaySettings = Parsed<RelaySettings>;

/// @brief Parses and validates the settings of a relay host.
ParsedRelaySettings ParseRelaySettings(std::string_view text);

/// @brief As ParseRelaySettings, from a file.
ParsedRelaySettings LoadRelaySettings(std::string_view path);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SETTINGS_RELAY_SETTINGS_H_
