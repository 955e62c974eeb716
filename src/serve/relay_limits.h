#ifndef MEADOWTHREAD_SERVE_RELAY_LIMITS_H_
#define MEADOWTHREAD_SERVE_RELAY_LIMITS_H_

#include "net/http_server.h"
#include "relay/routing_config.h"
#include "settings/relay_settings.h"

namespace meadowthread {

/// @brief The HTTP server's limits on what callers may send and hold.
/// @param[in] bounds settings of this host
/// @param[in] config routing configuration in force, or null; limits that it
/// does not set keep the server's default
ServerLimits RelayLimitsOf(const RelayBoundSettings& bounds,
                           const RoutingConfig* config);

/// @brief Most bytes of answers that the host holds until they are complete.
std::size_t AnswerMemoryBytes(const RelayBoundSettings& bounds);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_RELAY_LIMITS_H_
