// Prints what versions got during simulated rollouts, against the limits.
#include <algorithm>
#include <array>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string_view>

#include "rollout/tests/rollout_simulation.h"

namespace meadowthread {
namespace {

using testing::RolloutOutcome;
using testing::RolloutScenario;
using testing::RolloutSimulation;
using testing::VersionBehaviour;

constexpr RolloutLimits kLimits = {0.1, 50.0};
constexpr int kSeeds = 10;
constexpr std::array<int, 3> kHosts = {9, 60, 300};

struct Behaviour {
  std::string_view name;
  VersionBehaviour value;
};

constexpr std::array<Behaviour, 6> kBehaviours = {
    {{"good", VersionBehaviour::kGood},
     {"fails at once", VersionBehaviour::kFailsAtOnce},
     {"fails late", VersionBehaviour::kFailsLate},
     {"fails under load", VersionBehaviour::kFailsUnderLoad},
     {"fails on one route", VersionBehaviour::kFailsOnOneRoute},
     {"is slow", VersionBehaviour::kIsSlow}}};

/// @brief Sums over the seeds of one row.
struct Row {
  std::int64_t most_requests = 0;
  std::int64_t limit = 0;  ///< of the seed with the most requests
  int completed = 0;
  int rolled_back = 0;
  std::int64_t latest_end_ms = 0;
  std::int64_t most_bytes_per_s = 0;
};

Row PlayRow(int hosts, VersionBehaviour behaviour) {
  Row row;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    RolloutScenario scenario;
    scenario.hosts = hosts;
    scenario.behaviour = behaviour;
    scenario.seed = static_cast<std::uint64_t>(seed);
    const RolloutOutcome outcome = RolloutSimulation(scenario).Play();
    if (outcome.target_requests > row.most_requests) {
      row.most_requests = outcome.target_requests;
      row.limit = static_cast<std::int64_t>(
          kLimits.max_bad_share * static_cast<double>(outcome.requests) +
          kLimits.max_bad_requests);
    }
    const bool is_over = outcome.status.has_value() &&
                         outcome.status->state != RolloutState::kRunning;
    const bool is_good =
        is_over && outcome.status->state == RolloutState::kCompleted;
    row.completed += is_good ? 1 : 0;
    row.rolled_back += is_over && !is_good ? 1 : 0;
    row.latest_end_ms = std::max(row.latest_end_ms, outcome.ended_ms);
    row.most_bytes_per_s =
        std::max(row.most_bytes_per_s,
                 outcome.most_bytes_of_a_host * 1'000 / scenario.duration_ms);
  }
  return row;
}

void Run() {
  std::cout << "| version | hosts | requests, most | limit | completed | "
               "rolled back | latest end, ms | bytes/s of a host, most |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const Behaviour& behaviour : kBehaviours) {
    for (const int hosts : kHosts) {
      const Row row = PlayRow(hosts, behaviour.value);
      std::cout << "| " << behaviour.name << " | " << hosts << " | "
                << row.most_requests << " | " << row.limit << " | "
                << row.completed << " | " << row.rolled_back << " | "
                << row.latest_end_ms << " | " << row.most_bytes_per_s << " |\n";
    }
  }
}

}  // namespace
}  // namespace meadowthread

int main() {
  meadowthread::Run();
  return 0;
}
