#include "rollout/rollout_evaluation.h"

#include <algorithm>
#include <cmath>

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
// they send them nothing new.
bool RolloutEvaluation::IsIdle(const std::string& host) const {
  const auto found = this->hosts.find(host);
  return found != this->hosts.end() && found->second.others_idle &&
         found->second.heard_ms >= this->controller.StageBegunMs();
}

// A host from which nothing comes has stopped, or is cut off; its callers are
// then served by other hosts.
bool RolloutEvaluation::AreOthersIdle(std::span<const std::string> all,
                                      std::int64_t silent_ms,
                                      std::int64_t now_ms) const {
  return std::all_of(all.begin(), all.end(), [&](const std::string& name) {
    const auto found = this->hosts.find(name);
    const std::int64_t heard_ms =
        std::max(found == this->hosts.end() ? 0 : found->second.heard_ms,
                 this->controller.StageBegunMs());
    return this->IsIdle(name) || now_ms - heard_ms > silent_ms;
  });
}

std::vector<std::string> RolloutEvaluation::HostsNotIdle(
    std::span<const std::string> all, std::size_t most) const {
  std::vector<std::string> names;
  for (const std::string& name : all) {
    if (names.size() >= most) {
      break;
    }
    if (!this->IsIdle(name)) {
      names.push_back(name);
    }
  }
  return names;
}

// Each report tells of the time up to its arrival only, and in a large fleet
// most reports are seconds old. Their sum alone would show a rate that is far
// too low at first, and so leave a version on trial too large a share.
std::int64_t RolloutEvaluation::EstimateRequests(std::size_t host_count,
                                                 std::int64_t now_ms) const {
  double requests = 0.0;
  double covered_ms = 0.0;
  for (const auto& [name, report] : this->hosts) {
    requests += static_cast<double>(report.requests);
    covered_ms += static_cast<double>(report.heard_ms - this->started_ms);
  }
  if (covered_ms <= 0.0) {
    return 0;
  }
  const double to_cover_ms = static_cast<double>(host_count) *
                             static_cast<double>(now_ms - this->started_ms);
  return std::llround(requests / covered_ms *
                      std::max(to_cover_ms, covered_ms));
}

bool RolloutEvaluation::Advance(std::span<const std::string> all,
                                std::int64_t silent_ms, std::int64_t now_ms) {
  const bool others_idle =
      this->controller.Stage() == RolloutStage::kEmptying &&
      this->AreOthersIdle(all, silent_ms, now_ms);
  return this->controller.Advance(
      {this->answers.Totals(), this->EstimateRequests(all.size(), now_ms),
       others_idle},
      now_ms);
}

}  // namespace meadowthread
