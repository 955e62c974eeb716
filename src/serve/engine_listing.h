#ifndef MEADOWTHREAD_SERVE_ENGINE_LISTING_H_
#define MEADOWTHREAD_SERVE_ENGINE_LISTING_H_

#include "base/clock.h"
#include "policy/engine_view.h"
#include "relay/backend_list.h"
#include "relay/routing_config.h"

namespace meadowthread {

/// @brief Describes a backend server to the policy. The policy does not choose
/// servers whose listing has no models.
/// @param[in] service rule of its service; null if not configured yet
EngineListing MakeEngineListing(const Backend& backend,
                                const ServiceRule* service, const Clock& clock);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_ENGINE_LISTING_H_
