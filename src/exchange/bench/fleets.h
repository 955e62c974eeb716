#ifndef MEADOWTHREAD_EXCHANGE_BENCH_FLEETS_H_
#define MEADOWTHREAD_EXCHANGE_BENCH_FLEETS_H_

#include <ctime>
#include <string>

#include "absl/strings/str_cat.h"
#include "exchange/tests/fake_fleet.h"

namespace meadowthread::bench {

inline constexpr std::int64_t kSecondMs = 1000;
/// One-way delays of the fake network, in ms.
inline constexpr std::int64_t kNearMs = 1;
inline constexpr std::int64_t kFarMs = 60;

/// @brief Typical numbers of zones and regions for a fleet of this size.
inline fake::FleetShape ShapeOf(int hosts) {
  if (hosts <= 9) {
    return {hosts, 3, 1};
  }
  if (hosts <= 50) {
    return {hosts, 6, 2};
  }
  return hosts <= 150 ? fake::FleetShape{hosts, 10, 4}
                      : fake::FleetShape{hosts, 16, 7};
}

/// @brief Sets kNearMs within a region and kFarMs between regions.
inline void SetDelays(fake::FakeFleet* fleet, const fake::FleetShape& shape) {
  const auto region_of = [shape](const std::string& host) {
    return std::stoi(host.substr(host.find('-') + 1)) % shape.zones %
           shape.regions;
  };
  fleet->network.SetDelay([region_of](const auto& from, const auto& to) {
    return region_of(from) == region_of(to) ? kNearMs : kFarMs;
  });
}

/// @brief CPU time of this process, in microseconds.
inline double ProcessorMicros() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

/// @brief Totals over all hosts of a fleet.
struct FleetTotals {
  std::int64_t calls = 0;
  std::int64_t bytes = 0;  ///< bodies and protocol headers
  std::int64_t body_bytes = 0;
  std::int64_t failures = 0;
};

inline FleetTotals TotalsOf(fake::FakeFleet* fleet) {
  FleetTotals totals;
  for (int host = 0; host < fleet->Size(); ++host) {
    const ExchangeStats stats = fleet->At(host).exchanger.Stats();
    totals.calls += stats.calls;
    totals.failures += stats.failures;
    totals.body_bytes += stats.bytes_in + stats.bytes_out;
    totals.bytes += stats.bytes_in + stats.bytes_out +
                    2 * (stats.calls + stats.served) * kHttpBytesPerMessage;
  }
  return totals;
}

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_EXCHANGE_BENCH_FLEETS_H_
