#ifndef MEADOWTHREAD_SERVE_PLACEMENT_PARTICIPANT_H_
#define MEADOWTHREAD_SERVE_PLACEMENT_PARTICIPANT_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "configuration/service_catalog.h"
#include "hosts/host_directory.h"
#include "placement/controller.h"
#include "placement/nonce_source.h"
#include "placement/placement_source.h"
#include "serve/engine_monitor.h"
#include "serve/host_work_gate.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief Dependencies of PlacementParticipant; all of them outlive it.
struct PlacementDependencies {
  const Clock& clock;
  Scheduler& scheduler;
  ObjectStore& store;
  HttpClient& client;
  const ServiceCatalog& catalog;
  const HostDirectory& hosts;
  const EngineMonitor& engines;
  const HostWorkGate& gate;
  const OwnershipView& ownership;
};

/// @brief Runs this host's placement controller, which places models on
/// engines, and supplies it with the needed models, the engines and the live
/// hosts.
class PlacementParticipant final : public PlacementSource {
 public:
  PlacementParticipant(const Settings& settings, std::int64_t incarnation,
                       const PlacementDependencies& dependencies);

  /// @brief Starts the controller if the settings enable placement.
  void Start();

  /// @brief Releases all leases, so that other hosts take over at once.
  void Stop();

  std::vector<ModelDemand> NeededModels() override;
  bool NeededModelsAreFresh() override;
  std::span<const ListedEngine> Engines() override;
  std::span<const std::string> LiveHosts() override;

  std::vector<HeldLease> Held() { return this->controller.Held(); }

 private:
  bool enabled;
  std::int64_t stale_limit_ms;
  PlacementDependencies dependencies;
  RandomNonceSource nonces;
  std::vector<ListedEngine> listed;
  std::vector<std::string> live_hosts;
  PlacementController controller;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_PLACEMENT_PARTICIPANT_H_
