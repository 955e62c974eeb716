#include "permits/borrowing_allocation.h"

#include <string_view>
#include <vector>

namespace meadowthread {

void BorrowingAllocation::Choose(const WorkItem& work, const Chosen& chosen) {
  if (this->loans.IsNeeded()) {
    std::vector<std::string_view> engines;
    for (std::size_t i = 0; i < this->fleet.EngineCount(); ++i) {
      const EngineView& view = this->fleet.View(static_cast<EngineIndex>(i));
      if (view.live) {
        engines.push_back(view.engine);
      }
    }
    this->loans.PrepareFor(engines);
  }
  this->inner.Choose(work, chosen);
}

}  // namespace meadowthread
