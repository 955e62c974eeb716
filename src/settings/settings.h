#ifndef MEADOWTHREAD_SETTINGS_SETTINGS_H_
#define MEADOWTHREAD_SETTINGS_SETTINGS_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief This host's name, location and listeners.
struct HostSettings {
  std::string name;
  std::string zone;  ///< its availability zone
  std::string region;
  std::string address;   ///< the IP address it listens on
  int port = 0;          ///< for callers
  int control_port = 0;  ///< for other entry hosts and operators

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

/// @brief Where the platform's APIs are and how they are called.
struct PlatformSettings {
  std::string object_api;  ///< URL without a trailing slash
  std::string host_list;   ///< URL
  std::int64_t request_timeout_ms = 1000;
  std::int64_t host_list_period_ms = 1000;
  int watchers = 8;  ///< number of hosts in the fleet that watch

  friend bool operator==(const PlatformSettings&,
                         const PlatformSettings&) = default;
};

/// @brief Address that callers are redirected to for another deployment.
struct DeploymentAddress {
  std::string half;
  std::string url;

  friend bool operator==(const DeploymentAddress&,
                         const DeploymentAddress&) = default;
};

/// @brief Which deployment this host belongs to. While work moves from one
/// system to another, both deployments share the object store; settings call
/// each of them a `half`.
struct DeploymentSettings {
  std::string name = "main";
  /// Owner of workspaces and engines without an ownership object; by default
  /// this host's deployment.
  std::string default_owner = "main";
  std::vector<DeploymentAddress> addresses;  ///< of the other deployments

  friend bool operator==(const DeploymentSettings&,
                         const DeploymentSettings&) = default;
};

/// @brief Limits for connections and requests of callers.
struct CallerSettings {
  std::int64_t max_body_bytes = 1048576;
  std::int64_t max_header_bytes = 32768;
  std::int64_t body_timeout_ms = 10000;
  int max_streams = 4000;
  /// Interval of keep-alive comments in a stream.
  std::int64_t keepalive_ms = 15000;
  /// Bytes that a caller may leave unread before backpressure applies.
  std::int64_t slow_caller_bytes = 1048576;
  std::int64_t whole_answer_bytes = 8388608;

  friend bool operator==(const CallerSettings&,
                         const CallerSettings&) = default;
};

/// @brief When answers can be resumed and when they are abandoned.
struct AnswerSettings {
  /// File with the secret that signs resume tokens; the same on every host.
  /// Empty: a key of this process only, so no other host can resume its
  /// answers.
  std::string resume_key_file;
  std::int64_t resume_expiry_ms = 600000;
  std::int64_t orphan_timeout_ms = 30000;
  std::int64_t engine_silence_ms = 10000;

  friend bool operator==(const AnswerSettings&,
                         const AnswerSettings&) = default;
};

/// @brief Algorithm that chooses the engine for a request.
enum class ChooserKind { kMemoryAware, kRoundRobin, kLeastLoad, kPowerOfTwo };

/// @brief The algorithm's name in settings ("memory_aware", ...).
std::string_view ChooserName(ChooserKind chooser);

/// @brief Weights and limits of the scheduling policy.
struct PolicySettings {
  double stall_weight = 1.0;
  double preemption_weight = 1.0;
  double token_gap_weight = 1.0;
  ChooserKind chooser = ChooserKind::kMemoryAware;
  int queue_limit = 2000;
  double retry_budget_ratio = 0.1;  ///< retries per first attempt

  friend bool operator==(const PolicySettings&,
                         const PolicySettings&) = default;
};

/// @brief Gossip between entry hosts.
struct HostExchangeSettings {
  std::int64_t period_ms = 500;
  int fanout = 3;
  std::int64_t bytes_per_second = 29000;

  friend bool operator==(const HostExchangeSettings&,
                         const HostExchangeSettings&) = default;
};

/// @brief Storage of claims, which keep a request from running more than once.
struct ClaimsSettings {
  int shards = 8;
  std::int64_t retention_ms = 86400000;
  std::int64_t segment_bytes = 65536;

  friend bool operator==(const ClaimsSettings&,
                         const ClaimsSettings&) = default;
};

/// @brief Placement of models on engines.
struct PlacementSettings {
  bool enabled = true;
  int groups = 1;
  std::int64_t lease_ms = 10000;
  std::int64_t order_deadline_ms = 3000;
  double loads_per_second = 2;

  friend bool operator==(const PlacementSettings&,
                         const PlacementSettings&) = default;
};

/// @brief Staleness bound of the configuration in force.
struct ConfigurationSettings {
  std::int64_t stale_limit_ms = 5000;

  friend bool operator==(const ConfigurationSettings&,
                         const ConfigurationSettings&) = default;
};

/// @brief TLS for callers; off if no certificate is named.
struct TlsSettings {
  std::string certificate_file;
  std::string key_file;

  friend bool operator==(const TlsSettings&, const TlsSettings&) = default;
};

/// @brief All settings of a host, read at its start.
///
/// Secrets are kept in separate files; the settings only name these files.
struct Settings {
  HostSettings host;
  PlatformSettings platform;
  DeploymentSettings half;
  CallerSettings callers;
  AnswerSettings answers;
  PolicySettings policy;
  HostExchangeSettings exchange;
  ClaimsSettings claims;
  PlacementSettings placement;
  ConfigurationSettings configuration;
  TlsSettings tls;

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// @brief One error in a settings document. Messages never contain values from
/// the document.
struct SettingsProblem {
  int line = 0;       ///< from 1; 0: the document as a whole
  std::string field;  ///< dotted path, e.g. "host.port"
  std::string message;

  friend bool operator==(const SettingsProblem&,
                         const SettingsProblem&) = default;
};

/// @brief OK, or one kSettingsInvalid error that lists all problems.
absl::Status StatusOf(std::span<const SettingsProblem> problems);

/// @brief Parses a YAML document and collects its problems, sorted by line.
/// @param[in] read is called with the document's root node
std::vector<SettingsProblem> ReadYaml(
    std::string_view text,
    const std::function<void(const YAML::Node&, std::vector<SettingsProblem>*)>&
        read);

/// @brief The problem to report for a file that could not be read.
SettingsProblem UnreadableFileProblem(const absl::Status& status);

/// @brief Settings, or all problems found in them.
template <typename Kind>
struct Parsed {
  Kind settings;                          ///< usable only if IsValid()
  std::vector<SettingsProblem> problems;  ///< by line

  bool IsValid() const { return this->problems.empty(); }

  absl::Status Status() const { return StatusOf(this->problems); }
};

using ParsedSettings = Parsed<Settings>;

/// @brief Parses and validates the settings of a host.
/// @param[in] text a YAML document
ParsedSettings ParseSettings(std::string_view text);

/// @brief As ParseSettings, from a file.
ParsedSettings LoadSettings(std::string_view path);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SETTINGS_SETTINGS_H_
