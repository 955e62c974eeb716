#ifndef MEADOWTHREAD_SERVE_READING_OPTIONS_H_
#define MEADOWTHREAD_SERVE_READING_OPTIONS_H_

#include <cstdint>
#include <string_view>

#include "configuration/view_feeder.h"
#include "serve/word_waits.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief How relay hosts read the store.
FeederOptions RelayReading(std::string_view host, std::uint64_t seed);

/// @brief How relay hosts read which availability zones are emptied.
FeederOptions EmptiedZonesReading(std::string_view host, std::uint64_t seed);

/// @brief How hosts of the own interface read the store.
FeederOptions HostReading(std::string_view host, std::uint64_t seed);

/// @brief The waits on the way from the store to relay hosts.
WordPath RelayPath(const HostExchangeSettings& exchange);

/// @brief As RelayPath, for the word of emptied availability zones.
WordPath EmptiedZonesPath(const HostExchangeSettings& exchange);

/// @brief The waits on the way from the store to hosts of the own interface.
WordPath HostPath(const HostExchangeSettings& exchange);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_READING_OPTIONS_H_
