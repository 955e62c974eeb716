#ifndef MEADOWTHREAD_SERVE_FEEDER_OPTIONS_H_
#define MEADOWTHREAD_SERVE_FEEDER_OPTIONS_H_

#include <cstdint>
#include <string_view>

#include "configuration/view_watcher.h"
#include "serve/propagation_delays.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief Options with which relay hosts read the store.
WatcherOptions RelayFeederOptions(std::string_view host, std::uint64_t seed);

/// @brief Options with which relay hosts read which availability zones are
/// emptied.
WatcherOptions EmptiedZonesFeederOptions(std::string_view host,
                                         std::uint64_t seed);

/// @brief Options with which entry hosts of the native interface (RunServe)
/// read the platform.
WatcherOptions HostFeederOptions(std::string_view host, std::uint64_t seed);

/// @brief The maximum delays on the path from the store to relay hosts.
PropagationPath RelayPropagationPath(const HostExchangeSettings& exchange);

/// @brief As RelayPropagationPath, for the emptied availability zones.
PropagationPath EmptiedZonesPropagationPath(
    const HostExchangeSettings& exchange);

/// @brief The maximum delays on the path from the store to entry hosts of the
/// native interface.
PropagationPath HostPropagationPath(const HostExchangeSettings& exchange);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_FEEDER_OPTIONS_H_
