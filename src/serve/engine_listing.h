#ifndef MEADOWTHREAD_SERVE_ENGINE_LISTING_H_
#define MEADOWTHREAD_SERVE_ENGINE_LISTING_H_

#include "base/clock.h"
#include "policy/engine_view.h"
#include "relay/backend_list.h"
#include "relay/routing_config.h"

namespace meadowthread {

/// @brief A backend server as the policy sees it; without models, it is none
/// that the policy chooses between.
/// @param[in] service the rule of its service, null where there is none yet
EngineListing ListingOf(const Backend& backend, const ServiceRule* service,
                        const Clock& clock);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_ENGINE_LISTING_H_
