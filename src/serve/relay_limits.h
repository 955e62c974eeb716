#ifndef MEADOWTHREAD_SERVE_RELAY_LIMITS_H_
#define MEADOWTHREAD_SERVE_RELAY_LIMITS_H_

#include "net/http_server.h"
#include "relay/routing_config.h"
#include "settings/relay_settings.h"

namespace meadowthread {

/// @brief What callers may send and hold.
/// @param[in] bounds of this host
/// @param[in] plan in force, null while there is none; what it does not bound
/// keeps the server's own limit
ServerLimits RelayLimitsOf(const RelayBoundSettings& bounds,
                           const RoutingConfig* plan);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_RELAY_LIMITS_H_
