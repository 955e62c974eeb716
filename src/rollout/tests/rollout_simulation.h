#ifndef MEADOWTHREAD_ROLLOUT_TESTS_ROLLOUT_SIMULATION_H_
#define MEADOWTHREAD_ROLLOUT_TESTS_ROLLOUT_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/manual_scheduler.h"
#include "rollout/rollout_participant.h"

namespace meadowthread::testing {

/// @brief How the version that is rolled out behaves.
enum class VersionBehaviour {
  kGood,
  kFailsAtOnce,     ///< two in five answers fail
  kFailsLate,       ///< the same, from the half of the duration on
  kFailsUnderLoad,  ///< the same, while it gets half of the requests or more
  kFailsOnOneRoute,
  kIsSlow,  ///< answers take five times as long
};

/// @brief What a simulated rollout consists of.
struct RolloutScenario {
  int hosts = 9;
  double requests_per_s = 50.0;
  std::int64_t duration_ms = 12'000;
  VersionBehaviour behaviour = VersionBehaviour::kGood;
  double message_loss = 0.02;
  std::uint64_t seed = 1;
  /// From when to when the store takes no writes.
  std::int64_t store_down_from_ms = 0;
  std::int64_t store_down_until_ms = 0;
  /// When all hosts restart at once; 0: never.
  std::int64_t restart_all_ms = 0;
  /// Number of hosts that hear nobody and read nothing after the order.
  int cut_off = 0;
  /// The target version has no servers.
  bool without_servers = false;
};

/// @brief What came of it.
struct RolloutOutcome {
  std::optional<RolloutStatus> status;  ///< in the store, at the end
  std::int64_t ended_ms = -1;           ///< when it was decided there
  std::int64_t requests = 0;            ///< until the end of the duration
  std::int64_t target_requests = 0;     ///< of these
  /// How long after its 50th bad answer the target got its last request; -1:
  /// it had fewer, or got nothing more.
  std::int64_t last_after_bad_ms = -1;
  /// Requests in progress at other versions when it was completed.
  int cut_at_completion = 0;
  std::int64_t bytes = 0;  ///< of all messages
  std::int64_t most_bytes_of_a_host = 0;
  std::int64_t most_bytes_to_a_host = 0;
  std::int64_t writes = 0;

  bool IsWithinLimits(const RolloutLimits& limits) const {
    return static_cast<double>(this->target_requests) <=
           limits.max_bad_share * static_cast<double>(this->requests) +
               limits.max_bad_requests;
  }
};

/// @brief Plays one rollout over many hosts in virtual time: gossip that loses
/// messages, a store, and servers of two versions.
class RolloutSimulation {
 public:
  explicit RolloutSimulation(const RolloutScenario& scenario);
  ~RolloutSimulation();
  RolloutSimulation(const RolloutSimulation&) = delete;
  RolloutSimulation& operator=(const RolloutSimulation&) = delete;

  /// @brief Plays until some seconds after the end of the duration.
  RolloutOutcome Play();

 private:
  class Host;
  class Store;

  void Deliver(int from, int to, std::string_view topic,
               const nlohmann::json& payload);
  void Publish();
  void SendRequest();
  bool Fails(std::string_view route) const;
  double LoadShare() const;
  void Restart();
  bool IsCutOff(int host) const;

  RolloutScenario scenario;
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  std::mt19937_64 random;
  std::unique_ptr<Store> store;
  std::vector<std::shared_ptr<Host>> hosts;
  std::vector<std::string> names;
  RolloutOutcome outcome;
  std::int64_t order_ms = 0;
  std::int64_t bad_answers = 0;
  std::int64_t fiftieth_bad_ms = -1;
  std::map<int, std::int64_t> sent_bytes;
  std::map<int, std::int64_t> received_bytes;
  /// Sides of the last requests, true for the target.
  std::vector<bool> latest;
};

}  // namespace meadowthread::testing

#endif  // MEADOWTHREAD_ROLLOUT_TESTS_ROLLOUT_SIMULATION_H_
