#ifndef MEADOWTHREAD_POLICY_BASELINE_CHOOSERS_H_
#define MEADOWTHREAD_POLICY_BASELINE_CHOOSERS_H_

#include <cstdint>
#include <string_view>

#include "policy/chooser.h"

namespace meadowthread {

/// @brief Chooses the usable engines in round-robin order.
class RoundRobinChooser final : public EngineChooser {
 public:
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "round_robin"; }

 private:
  std::uint64_t next = 0;
};

/// @brief Chooses the engine with the least memory in use according to its last
/// load report.
class LeastLoadChooser final : public EngineChooser {
 public:
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "least_load"; }
};

/// @brief Draws two engines at random and chooses the one on which this host
/// has fewer requests in flight.
class PowerOfTwoChooser final : public EngineChooser {
 public:
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "power_of_two"; }
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_BASELINE_CHOOSERS_H_
