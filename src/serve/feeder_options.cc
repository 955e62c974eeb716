#include "serve/feeder_options.h"

#include <limits>
#include <string>

#include "exchange/exchange_settings.h"
#include "relay/relay_dependencies.h"
#include "serve/watcher_selection.h"

namespace meadowthread {
namespace {

std::int64_t MaxRoundMs(const HostExchangeSettings& exchange) {
  const double longest = 1.0 + ExchangeSettings{}.round_jitter;
  return static_cast<std::int64_t>(static_cast<double>(exchange.period_ms) *
                                   longest);
}

}  // namespace

WatcherOptions RelayFeederOptions(std::string_view host, std::uint64_t seed) {
  WatcherOptions options;
  options.host = std::string(host);
  options.seed = seed;
  // A connection that hangs since a network failure is detected only when a
  // watch on it gets no response within its wait time. The wait time is short,
  // as the configuration has to be in force soon after the network has
  // recovered.
  options.wait_ms = 1'500;
  options.answer_margin_ms = 1'000;
  options.overdue_ms = 200;
  options.pace_ms = 20;
  options.most_backoff_ms = 800;
  options.idle_ms = 300;
  // If no host has confirmed the view for this long, every host reads the store
  // itself. A watch confirms the view when its wait time is over at the latest.
  options.self_watch_ms = 3'500;
  return options;
}

// Zones are emptied rarely, so nearly all of these watches end without a
// change. Such a watch costs as much as one that returns a change, so they have
// a longer wait time.
WatcherOptions EmptiedZonesFeederOptions(std::string_view host,
                                         std::uint64_t seed) {
  WatcherOptions options = RelayFeederOptions(host, seed);
  options.wait_ms = 2'500;
  options.self_watch_ms = 5'500;
  return options;
}

WatcherOptions HostFeederOptions(std::string_view host, std::uint64_t seed) {
  WatcherOptions options;
  options.host = std::string(host);
  options.seed = seed;
  // Operators' changes have to be in force within five seconds, even if every
  // connection to the store hangs.
  options.wait_ms = 3'000;
  options.overdue_ms = 500;
  return options;
}

PropagationPath RelayPropagationPath(const HostExchangeSettings& exchange) {
  PropagationPath path;
  path.feeder = RelayFeederOptions("", 0);
  path.stagger_ms = WatchStaggerMs(std::numeric_limits<int>::max());
  path.round_ms = MaxRoundMs(exchange);
  path.connect_ms = kBackendConnectMs;
  return path;
}

PropagationPath EmptiedZonesPropagationPath(
    const HostExchangeSettings& exchange) {
  PropagationPath path = RelayPropagationPath(exchange);
  path.feeder = EmptiedZonesFeederOptions("", 0);
  return path;
}

PropagationPath HostPropagationPath(const HostExchangeSettings& exchange) {
  PropagationPath path;
  path.feeder = HostFeederOptions("", 0);
  path.round_ms = MaxRoundMs(exchange);
  return path;
}

}  // namespace meadowthread
