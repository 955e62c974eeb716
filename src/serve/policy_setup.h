#ifndef MEADOWTHREAD_SERVE_POLICY_SETUP_H_
#define MEADOWTHREAD_SERVE_POLICY_SETUP_H_

#include <memory>

#include "configuration/service_catalog.h"
#include "policy/chooser.h"
#include "policy/dispatcher.h"
#include "policy/workspace_limits.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief Creates the engine chooser that the settings name.
std::unique_ptr<EngineChooser> MakeChooser(const PolicySettings& settings);

/// @brief Reads the queue limits from the settings.
AdmissionOptions MakeAdmissionOptions(const PolicySettings& settings);

/// @brief Applies the limits of every workspace in the catalog.
void ApplyLimits(const ServiceCatalog& catalog, WorkspaceLimits* limits);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_POLICY_SETUP_H_
