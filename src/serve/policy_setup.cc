#include "serve/policy_setup.h"

#include "policy/baseline_choosers.h"
#include "policy/memory_aware_chooser.h"

namespace meadowthread {

std::unique_ptr<EngineChooser> MakeChooser(const PolicySettings& settings) {
  switch (settings.chooser) {
    case ChooserKind::kRoundRobin:
      return std::make_unique<RoundRobinChooser>();
    case ChooserKind::kLeastLoad:
      return std::make_unique<LeastLoadChooser>();
    case ChooserKind::kPowerOfTwo:
      return std::make_unique<PowerOfTwoChooser>();
    case ChooserKind::kMemoryAware:
      break;
  }
  MemoryAwareOptions options;
  options.weights.stall = settings.stall_weight;
  options.weights.preemption = settings.preemption_weight;
  options.weights.token_gap = settings.token_gap_weight;
  return std::make_unique<MemoryAwareChooser>(options);
}

AdmissionOptions MakeAdmissionOptions(const PolicySettings& settings) {
  AdmissionOptions options;
  options.max_queued.fill(static_cast<std::size_t>(settings.queue_limit));
  return options;
}

void ApplyLimits(const ServiceCatalog& catalog, WorkspaceLimits* limits) {
  for (const std::string& workspace : catalog.Workspaces()) {
    // If several templates serve a workspace, the highest value of each limit
    // applies: limits are promised to the workspace as a whole, not for each
    // template.
    WorkspaceLimit widest;
    bool first = true;
    for (const ServiceCatalog::ServicePtr& service :
         catalog.ServicesOf(workspace)) {
      const ServiceLimits& given = service->limits;
      const auto widen = [first](auto& to, auto from) {
        const bool unlimited = from == 0 || (!first && to == 0);
        to = unlimited ? 0 : (to > from ? to : from);
      };
      widen(widest.requests_per_second, given.requests_per_second);
      widen(widest.tokens_per_second, given.tokens_per_second);
      widen(widest.concurrent, static_cast<int>(given.concurrent));
      first = false;
    }
    limits->SetLimit(workspace, widest);
  }
}

}  // namespace meadowthread
