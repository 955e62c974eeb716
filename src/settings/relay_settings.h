#ifndef MEADOWTHREAD_SETTINGS_RELAY_SETTINGS_H_
#define MEADOWTHREAD_SETTINGS_RELAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace meadowthread {

/// @brief Where this host listens besides HostSettings; ports on its address.
struct RelayListenSettings {
  int ready_port = 0;    ///< answers whether it takes traffic
  int loads_port = 0;    ///< UDP: load notes of other hosts
  int metrics_port = 0;  ///< tells counters and gauges; 0: nowhere

  friend bool operator==(const RelayListenSettings&,
                         const RelayListenSettings&) = default;
};

/// @brief Retries that all hosts together may make towards a service.
struct RelayRetrySettings {
  double per_request = 0.1;  ///< for each request of the service
  double extra = 10.0;       ///< besides, within the window they are counted in

  friend bool operator==(const RelayRetrySettings&,
                         const RelayRetrySettings&) = default;
};

/// @brief Bounds of the process.
struct RelayBoundSettings {
  double grace_s = 8.0;  ///< from a stop's signal to its end by force
  int descriptors = 4'096;
  std::int64_t memory_mb = 128;
  /// Within these the store's word is followed, milliseconds: a configuration
  /// is in force, a server that leaves gets nothing new.
  std::int64_t change_ms = 2'000;
  std::int64_t leaving_ms = 2'000;
  /// As above: an availability zone that is emptied gets nothing new.
  std::int64_t emptying_ms = 5'000;
  /// So long after the store or connections were disturbed they hold again.
  std::int64_t settle_ms = 3'000;
  /// So many times what a cold server withstands may reach it.
  double cold_over = 1.0;

  friend bool operator==(const RelayBoundSettings&,
                         const RelayBoundSettings&) = default;
};

/// @brief The policy for streams. Switches are there to measure what a part is
/// worth; docs/OPERATIONS.md says what each does.
struct RelayPolicySettings {
  bool refuses_late = true;
  bool lets_returned_wait = true;
  bool spreads_returns = true;
  bool avoids_bad_links = true;
  bool stops_are_told = true;
  bool staggers_watches = true;
  double memory_limit = 0.8;      ///< of an engine's, for work that lasts
  double late_work_part = 0.7;    ///< of both limits, for what is late anyhow
  double short_work_limit = 0.9;  ///< of what is used now, for work that ends
  /// Up to so many hosts tell each other of all their work; among more, one in
  /// each group of engines hands out places.
  int direct_hosts = 32;
  /// Bound what engines get also while they are warm, as they may turn cold
  /// before hosts hear of it. Off: only while they are known to be cold.
  bool guards_warm = true;

  friend bool operator==(const RelayPolicySettings&,
                         const RelayPolicySettings&) = default;
};

/// @brief Everything that a relay host is told at its start.
struct RelaySettings {
  HostSettings host;
  /// Which region each availability zone is in.
  std::map<std::string, std::string> regions;
  RelayListenSettings listen;
  std::string store;  ///< URL of the platform's object store
  RelayRetrySettings retries;
  RelayBoundSettings bounds;
  RelayPolicySettings policy;
  HostExchangeSettings exchange;

  friend bool operator==(const RelaySettings&, const RelaySettings&) = default;
};

/// @brief Relay settings, or every problem that they have.
using ParsedRelaySettings = Parsed<RelaySettings>;

/// @brief Parses and checks settings whole.
ParsedRelaySettings ParseRelaySettings(std::string_view text);

/// @brief As ParseRelaySettings, from a file.
ParsedRelaySettings LoadRelaySettings(std::string_view path);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SETTINGS_RELAY_SETTINGS_H_
