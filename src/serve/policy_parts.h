#ifndef MEADOWTHREAD_SERVE_POLICY_PARTS_H_
#define MEADOWTHREAD_SERVE_POLICY_PARTS_H_

#include <memory>

#include "configuration/service_catalog.h"
#include "policy/chooser.h"
#include "policy/dispatcher.h"
#include "policy/workspace_limits.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief The chooser that the settings name.
std::unique_ptr<EngineChooser> MakeChooser(const PolicySettings& settings);

/// @brief Bounds of the queues from the settings.
AdmissionOptions MakeAdmissionOptions(const PolicySettings& settings);

/// @brief Takes over the limits of every workspace in force.
void ApplyLimits(const ServiceCatalog& catalog, WorkspaceLimits* limits);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_POLICY_PARTS_H_
