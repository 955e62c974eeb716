#include "rollout/rollout_evaluation.h"

#include <algorithm>

namespace meadowthread {

bool RolloutEvaluation::Apply(std::string_view host,
                              const RolloutReport& report,
                              std::int64_t now_ms) {
  this->hosts[std::string(host)] = {now_ms, report.others_idle,
                                    report.requests};
  bool all = true;
  for (const auto& [route, counts] : report.routes) {
    all = this->answers.Apply(report.process, route, counts) && all;
  }
  return all;
}

// Hosts report that the other versions are idle only from the stage on in which
// they send them nothing new. A host from which nothing comes has stopped, or
// is cut off; its callers are then served by other hosts.
bool RolloutEvaluation::AreOthersIdle(std::span<const std::string> all,
                                      std::int64_t silent_ms,
                                      std::int64_t now_ms) const {
  return std::all_of(all.begin(), all.end(), [&](const std::string& name) {
    const auto found = this->hosts.find(name);
    const std::int64_t heard_ms =
        std::max(found == this->hosts.end() ? 0 : found->second.heard_ms,
                 this->controller.StageBegunMs());
    const bool is_idle =
        found != this->hosts.end() && found->second.others_idle &&
        found->second.heard_ms >= this->controller.StageBegunMs();
    return is_idle || now_ms - heard_ms > silent_ms;
  });
}

bool RolloutEvaluation::Advance(std::span<const std::string> all,
                                std::int64_t silent_ms, std::int64_t now_ms) {
  const bool others_idle =
      this->controller.Stage() == RolloutStage::kEmptying &&
      this->AreOthersIdle(all, silent_ms, now_ms);
  std::int64_t requests = 0;
  for (const auto& [name, report] : this->hosts) {
    requests += report.requests;
  }
  return this->controller.Advance(
      {this->answers.Totals(), requests, others_idle}, now_ms);
}

}  // namespace meadowthread
