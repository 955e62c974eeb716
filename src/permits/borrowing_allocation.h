#ifndef MEADOWTHREAD_PERMITS_BORROWING_ALLOCATION_H_
#define MEADOWTHREAD_PERMITS_BORROWING_ALLOCATION_H_

#include "permits/share_loans.h"
#include "policy/engine_allocation.h"
#include "policy/fleet_state.h"

namespace meadowthread {

/// @brief Chooses engines as another EngineAllocation does, and borrows shares
/// of their rates before this host's own are all used up.
class BorrowingAllocation final : public EngineAllocation {
 public:
  /// @param[in] inner,fleet,loans outlive this
  BorrowingAllocation(EngineAllocation& inner, const FleetState& fleet,
                      ShareLoans& loans)
      : inner(inner), fleet(fleet), loans(loans) {}
  BorrowingAllocation(const BorrowingAllocation&) = delete;
  BorrowingAllocation& operator=(const BorrowingAllocation&) = delete;

  // EngineAllocation
  void Choose(const WorkItem& work, const Chosen& chosen) override;
  bool IsShared() const override { return this->inner.IsShared(); }
  void RequestMigration(const MigrationRequest& move,
                        const Chosen& granted) override {
    this->inner.RequestMigration(move, granted);
  }
  void EndMigration(const MigrationRequest& move) override {
    this->inner.EndMigration(move);
  }

 private:
  EngineAllocation& inner;
  const FleetState& fleet;
  ShareLoans& loans;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_BORROWING_ALLOCATION_H_
