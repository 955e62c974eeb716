#ifndef MEADOWTHREAD_SERVE_RELAY_PLATFORM_H_
#define MEADOWTHREAD_SERVE_RELAY_PLATFORM_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "net/http_client.h"
#include "relay/backend_list.h"
#include "relay/backend_protocol.h"
#include "relay/engine_control.h"
#include "relay/routing_config.h"
#include "rollout/rollout.h"
#include "rollout/rollout_participant.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief The kinds and names of the store objects that a relay host reads and
/// writes.
struct RelayObjectKinds {
  std::string routing_config;       ///< kind of the routing configuration
  std::string routing_config_name;  ///< name of its object
  std::string backends;             ///< kind of the backend servers' entries
  std::string hosts;                ///< kind of the entry hosts' own entries
  std::string quarantine;           ///< kind of the crash records
  /// Kind of the objects that mark availability zones as emptied, each named
  /// after its zone.
  std::string emptied_zones;
  /// Kind of the rollouts, each named after its service.
  std::string rollouts;
};

/// @brief Everything that depends on the platform that a relay host runs on:
/// object names, store access and protocols.
class RelayPlatform {
 public:
  virtual ~RelayPlatform() = default;

  /// @brief The kinds and names of the store objects.
  virtual const RelayObjectKinds& Kinds() const = 0;

  /// @brief Creates the client of the store.
  /// @param[in] client outlives the result
  /// @param[in] url address of the store
  virtual std::unique_ptr<ObjectStore> MakeStore(HttpClient& client,
                                                 std::string_view url) = 0;

  /// @brief Creates the writer of the rollouts' statuses.
  /// @param[in] client outlives the result
  /// @param[in] url address of the store
  virtual std::unique_ptr<RolloutStatusStore> MakeRolloutStatusStore(
      HttpClient& client, std::string_view url) = 0;

  /// @brief Creates the client for control calls to engines.
  virtual std::unique_ptr<EngineControl> MakeControl(HttpClient& client) = 0;

  /// @brief The protocol spoken with callers.
  virtual const CallerProtocol& Callers() const = 0;
  /// @brief The protocol spoken with backend servers.
  virtual const BackendProtocol& Backends() const = 0;

  /// @brief Path at which the load balancer checks readiness.
  virtual std::string_view ReadyPath() const = 0;

  /// @brief Parses a routing configuration; an error names the invalid field.
  virtual absl::StatusOr<RoutingConfig> ReadRoutingConfig(
      std::string_view text) const = 0;

  /// @brief Parses a backend server's entry.
  /// @param[in] id name of the entry in the store
  /// @param[in] text the entry as stored
  virtual absl::StatusOr<BackendEntry> ReadBackendEntry(
      std::string_view id, std::string_view text) const = 0;

  /// @brief Parses a rollout with its status; an error names the invalid field.
  /// @param[in] service name of its object in the store
  /// @param[in] text the rollout as stored
  virtual absl::StatusOr<Rollout> ReadRollout(std::string_view service,
                                              std::string_view text) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_RELAY_PLATFORM_H_
