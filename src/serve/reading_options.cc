#include "serve/reading_options.h"

#include <limits>
#include <string>

#include "exchange/exchange_settings.h"
#include "relay/relay_dependencies.h"
#include "serve/watcher_choice.h"

namespace meadowthread {
namespace {

std::int64_t LongestRoundMs(const HostExchangeSettings& exchange) {
  const double longest = 1.0 + ExchangeSettings{}.round_jitter;
  return static_cast<std::int64_t>(static_cast<double>(exchange.period_ms) *
                                   longest);
}

}  // namespace

FeederOptions RelayReading(std::string_view host, std::uint64_t seed) {
  FeederOptions options;
  options.host = std::string(host);
  options.seed = seed;
  // A connection that a cut has silenced is noticed after a watch's wait: the
  // configuration has to be in force soon after the cut has healed.
  options.wait_ms = 1'500;
  options.answer_margin_ms = 1'000;
  options.overdue_ms = 200;
  options.pace_ms = 20;
  options.most_backoff_ms = 800;
  options.idle_ms = 300;
  // A watch confirms a view at the latest when its wait is over.
  options.self_watch_ms = 3'500;
  return options;
}

// Zones are emptied rarely, and a watch that waits costs as much as one that
// tells something.
FeederOptions EmptiedZonesReading(std::string_view host, std::uint64_t seed) {
  FeederOptions options = RelayReading(host, seed);
  options.wait_ms = 2'500;
  options.self_watch_ms = 5'500;
  return options;
}

FeederOptions HostReading(std::string_view host, std::uint64_t seed) {
  FeederOptions options;
  options.host = std::string(host);
  options.seed = seed;
  // Operators' changes are in force within five seconds, also where every
  // connection to the store fell silent.
  options.wait_ms = 3'000;
  options.overdue_ms = 500;
  return options;
}

WordPath RelayPath(const HostExchangeSettings& exchange) {
  WordPath path;
  path.feeder = RelayReading("", 0);
  path.stagger_ms = WatchStaggerMs(std::numeric_limits<int>::max());
  path.round_ms = LongestRoundMs(exchange);
  path.connect_ms = kBackendConnectMs;
  return path;
}

WordPath EmptiedZonesPath(const HostExchangeSettings& exchange) {
  WordPath path = RelayPath(exchange);
  path.feeder = EmptiedZonesReading("", 0);
  return path;
}

WordPath HostPath(const HostExchangeSettings& exchange) {
  WordPath path;
  path.feeder = HostReading("", 0);
  path.round_ms = LongestRoundMs(exchange);
  return path;
}

}  // namespace meadowthread
