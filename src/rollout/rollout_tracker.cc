#include "rollout/rollout_tracker.h"

#include <algorithm>

#include "base/rendezvous.h"

namespace meadowthread {
namespace {

// Progress of more hosts than this is not kept; three evaluate, and hosts that
// restart or join take over from others.
constexpr std::size_t kMaxEvaluatorsHeard = 16;

bool IsNewer(const RolloutProgress& one, const RolloutProgress& known) {
  return one.incarnation == known.incarnation
             ? one.number > known.number
             : one.incarnation > known.incarnation;
}

}  // namespace

std::uint64_t EvaluatorScore(std::string_view host, std::string_view service) {
  return RendezvousScore(host, service);
}

RolloutTracker::RolloutTracker(const Rollout& rollout, std::int64_t version,
                               const RolloutLimits& limits, std::int64_t now_ms)
    : rollout(rollout),
      version(version),
      limits(limits),
      first_seen_ms(now_ms) {}

void RolloutTracker::SetStatus(const Rollout& next, std::int64_t at_version) {
  if (at_version <= this->version) {
    return;
  }
  this->version = at_version;
  this->lacks_decision =
      this->IsDecided(this->rollout) && !this->IsDecided(next);
  if (!this->lacks_decision) {
    this->rollout = next;
  }
}

bool RolloutTracker::IsDecided(const Rollout& one) const {
  return one.status.has_value() && BelongsTo(*one.status, one.order) &&
         one.status->state != RolloutState::kRunning;
}

// A host whose clock was set back begins with a lower incarnation. Its progress
// counts again once the last one from before has expired.
bool RolloutTracker::ApplyProgress(const RolloutProgress& progress,
                                   std::int64_t now_ms) {
  const std::uint64_t rank =
      EvaluatorScore(progress.evaluator, progress.order.service);
  const auto found = this->told.find(rank);
  if (found == this->told.end() && this->told.size() >= kMaxEvaluatorsHeard) {
    return false;
  }
  const bool is_new = found == this->told.end() ||
                      IsNewer(progress, found->second.progress) ||
                      now_ms - found->second.heard_ms > kProgressValidMs;
  if (is_new) {
    this->told[rank] = {progress, now_ms};
    this->called_bad =
        this->called_bad || progress.stage == RolloutStage::kRolledBack;
  }
  return is_new;
}

const RolloutProgress* RolloutTracker::BestProgress(std::int64_t now_ms) const {
  for (const auto& [rank, told] : this->told) {
    if (now_ms - told.heard_ms <= kProgressValidMs) {
      return &told.progress;
    }
  }
  return nullptr;
}

bool RolloutTracker::IsOver(RolloutState state) const {
  return this->rollout.status.has_value() &&
         BelongsTo(*this->rollout.status, this->rollout.order) &&
         this->rollout.status->state == state;
}

bool RolloutTracker::IsRunning() const {
  return !this->called_bad && !this->IsOver(RolloutState::kCompleted) &&
         !this->IsOver(RolloutState::kRolledBack);
}

RolloutStage RolloutTracker::Stage(std::int64_t now_ms) const {
  if (this->IsOver(RolloutState::kCompleted)) {
    return RolloutStage::kEmptied;
  }
  if (!this->IsRunning()) {
    return RolloutStage::kRolledBack;
  }
  const RolloutProgress* const best = this->BestProgress(now_ms);
  return best == nullptr ? RolloutStage::kTrial : best->stage;
}

double RolloutTracker::Share(std::int64_t now_ms) const {
  switch (this->Stage(now_ms)) {
    case RolloutStage::kRolledBack:
      return 0.0;
    case RolloutStage::kEmptied:
      return 1.0;
    default:
      break;
  }
  const RolloutProgress* const best = this->BestProgress(now_ms);
  return best == nullptr ? UnguidedShare(this->limits) : best->share;
}

std::vector<std::string> RolloutTracker::ExcludedVersions() const {
  std::vector<std::string> excluded = this->abandoned;
  if (this->rollout.status.has_value()) {
    const std::vector<std::string>& stored =
        this->rollout.status->excluded_versions;
    excluded.insert(excluded.end(), stored.begin(), stored.end());
    const bool was_abandoned =
        !BelongsTo(*this->rollout.status, this->rollout.order) &&
        this->rollout.status->state != RolloutState::kCompleted;
    if (was_abandoned) {
      excluded.push_back(this->rollout.status->target_version);
    }
  }
  // The order itself decides on its target, which an earlier one may have
  // excluded.
  std::erase(excluded, this->rollout.order.target_version);
  if (this->called_bad || this->IsOver(RolloutState::kRolledBack)) {
    excluded.push_back(this->rollout.order.target_version);
  }
  std::sort(excluded.begin(), excluded.end());
  excluded.erase(std::unique(excluded.begin(), excluded.end()), excluded.end());
  return excluded;
}

}  // namespace meadowthread
