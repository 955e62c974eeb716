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
#include "store/object_store.h"

namespace meadowthread {

/// @brief Where a relay host finds what it needs in the store.
struct RelayKinds {
  std::string plan;        ///< kind of the configuration
  std::string plan_name;   ///< its object
  std::string backends;    ///< kind of the backend servers' entries
  std::string hosts;       ///< kind of the entry hosts' own entries
  std::string quarantine;  ///< kind of the records of the quarantine
  /// Kind of the objects named after availability zones that are emptied.
  std::string emptied_zones;
};

/// @brief All that depends on the platform a relay host runs on.
class RelayPlatform {
 public:
  virtual ~RelayPlatform() = default;

  virtual const RelayKinds& Kinds() const = 0;

  /// @brief The store's client.
  /// @param[in] client outlives it
  virtual std::unique_ptr<ObjectStore> MakeStore(HttpClient& client,
                                                 std::string_view url) = 0;

  /// @brief Calls to engines.
  virtual std::unique_ptr<EngineControl> MakeControl(HttpClient& client) = 0;

  virtual const CallerProtocol& Callers() const = 0;
  virtual const BackendProtocol& Backends() const = 0;

  /// @brief The path that asks whether the host takes traffic.
  virtual std::string_view ReadyPath() const = 0;

  /// @brief Reads a configuration; an error names the field at fault.
  virtual absl::StatusOr<RoutingConfig> ReadPlan(
      std::string_view text) const = 0;

  /// @brief Reads a backend server's entry.
  /// @param[in] id its name in the store
  virtual absl::StatusOr<BackendEntry> ReadBackend(
      std::string_view id, std::string_view text) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_RELAY_PLATFORM_H_
