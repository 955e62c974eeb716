#ifndef MEADOWTHREAD_BENCH_POLICIES_H_
#define MEADOWTHREAD_BENCH_POLICIES_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "driver.h"
#include "policy/memory_aware_chooser.h"

namespace meadowthread::bench {

/// @brief One policy of the table.
struct NamedPolicy {
  std::string name;
  std::shared_ptr<const PolicyFactory> factory;
};

/// @brief A baseline by name: round_robin, least_load or power_of_two.
NamedPolicy Baseline(std::string_view name);

/// @brief Knows every length and every engine's true state.
NamedPolicy Oracle();

/// @brief What MemoryAwarePolicy is built with.
struct MemoryAwareSetup {
  MemoryAwareOptions options;
  bool share_loads = true;
  bool learn_lengths = true;  ///< else one overall distribution
};

/// @brief The policy.
NamedPolicy MemoryAwarePolicy(std::string_view name,
                              const MemoryAwareSetup& setup);

/// @brief The policy with one part taken out at a time.
std::vector<NamedPolicy> Ablations(const MemoryAwareSetup& whole);

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_BENCH_POLICIES_H_
