#ifndef MEADOWTHREAD_SERVE_PLACEMENT_DUTY_H_
#define MEADOWTHREAD_SERVE_PLACEMENT_DUTY_H_

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
#include "serve/engine_watch.h"
#include "serve/host_gate.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief What placement looks at; all of it outlives the duty.
struct PlacementDutyParts {
  const Clock& clock;
  Scheduler& scheduler;
  ObjectStore& store;
  HttpClient& client;
  const ServiceCatalog& catalog;
  const HostDirectory& hosts;
  const EngineWatch& engines;
  const HostGate& gate;
  const OwnershipView& ownership;
};

/// @brief This host's part in placing models on engines.
class PlacementDuty final : public PlacementSource {
 public:
  PlacementDuty(const Settings& settings, std::int64_t incarnation,
                const PlacementDutyParts& parts);

  void Start();

  /// @brief Gives leases up, so that others take over at once.
  void Stop();

  std::vector<NeededModel> NeededModels() override;
  bool NeededModelsAreFresh() override;
  std::span<const ListedEngine> Engines() override;
  std::span<const std::string> LiveHosts() override;

  std::vector<HeldLease> Held() { return this->controller.Held(); }

 private:
  bool enabled;
  std::int64_t stale_limit_ms;
  PlacementDutyParts parts;
  RandomNonceSource nonces;
  std::vector<ListedEngine> listed;
  std::vector<std::string> live_hosts;
  PlacementController controller;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_PLACEMENT_DUTY_H_
