#ifndef MEADOWTHREAD_POLICY_LOCAL_ALLOCATION_H_
#define MEADOWTHREAD_POLICY_LOCAL_ALLOCATION_H_

#include <random>

#include "base/clock.h"
#include "policy/engine_allocation.h"

namespace meadowthread {

/// @brief Chooses engines on this host, from what it knows about all of them.
class LocalAllocation final : public EngineAllocation {
 public:
  /// @param[in] chooser,fleet,clock,random must outlive this object
  LocalAllocation(EngineChooser& chooser, const FleetState& fleet,
                  const Clock& clock, std::mt19937_64& random)
      : chooser(chooser), fleet(fleet), clock(clock), random(random) {}

  void Choose(const WorkItem& work, const Chosen& chosen) override {
    chosen(this->chooser.Choose(work, this->fleet, this->clock.WallMs(),
                                this->random()));
  }
  bool IsShared() const override { return false; }
  void RequestMigration(const MigrationRequest&,
                        const Chosen& granted) override {
    granted(Decision{});
  }
  void EndMigration(const MigrationRequest&) override {}

 private:
  EngineChooser& chooser;
  const FleetState& fleet;
  const Clock& clock;
  std::mt19937_64& random;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_LOCAL_ALLOCATION_H_
