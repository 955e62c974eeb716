#ifndef MEADOWTHREAD_POLICY_BASELINE_CHOOSERS_H_
#define MEADOWTHREAD_POLICY_BASELINE_CHOOSERS_H_

#include <cstdint>
#include <string_view>

#include "policy/chooser.h"

namespace meadowthread {

/// @brief One engine after the other.
class RoundRobinChooser final : public EngineChooser {
 public:
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "round_robin"; }

 private:
  std::uint64_t next = 0;
};

/// @brief The engine whose last report holds the least memory.
class LeastLoadChooser final : public EngineChooser {
 public:
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "least_load"; }
};

/// @brief Two at random; the one with less of this host's own work.
class PowerOfTwoChooser final : public EngineChooser {
 public:
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "power_of_two"; }
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_BASELINE_CHOOSERS_H_
