#include "rollout/rollout_controller.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

// Parts of a rollout's duration. The steps after the trial and the moving of
// running generations take the rest.
constexpr double kTrialPart = 0.5;
constexpr double kStepPart = 0.07;
// A version that is still on trial this part of the duration before its end is
// rolled back.
constexpr double kRollBackPart = 0.1;
constexpr std::int64_t kMinRollBackMs = 500;
// Long rollouts: faults that take longer to show are not waited for.
constexpr std::int64_t kMaxTrialMs = 3'600'000;
constexpr std::int64_t kMaxStepMs = 300'000;
// A step without this many further answers lasts twice as long.
constexpr std::int64_t kStepAnswers = 5;
constexpr std::int64_t kStepPatience = 2;
// Part of the allowed share that a trial takes at least.
constexpr double kTrialPartOfShare = 0.5;
// Requests sent within this time are set aside for a version that proves bad
// only once it gets all of them: until its faults are counted and known to all
// hosts.
constexpr double kDetectionMs = 1'600.0;
constexpr std::int64_t kMinTrialLeftMs = 1'000;
constexpr double kMaxTrialShare = 0.5;
// A trial's share is not raised before this many requests have been taken,
// as their rate is not known yet.
constexpr std::int64_t kMinRequestsForRate = 10;
constexpr double kPartialShare = 0.4;

double ShareOf(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kTrial:
    case RolloutStage::kRolledBack:
      return 0.0;
    case RolloutStage::kPartial:
      return kPartialShare;
    case RolloutStage::kAll:
    case RolloutStage::kEmptying:
    case RolloutStage::kEmptied:
      return 1.0;
  }
  return 0.0;
}

std::int64_t PartOf(std::int64_t duration_ms, double part) {
  return std::llround(static_cast<double>(duration_ms) * part);
}

std::int64_t TargetAnswers(const AnswersByRoute& answers) {
  std::int64_t target = 0;
  for (const auto& [route, counts] : answers) {
    target += counts.target.answers;
  }
  return target;
}

}  // namespace

std::string_view RolloutStageName(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kTrial:
      return "trial";
    case RolloutStage::kPartial:
      return "partial";
    case RolloutStage::kAll:
      return "all";
    case RolloutStage::kEmptying:
      return "emptying";
    case RolloutStage::kEmptied:
      return "emptied";
    case RolloutStage::kRolledBack:
      return "rolled_back";
  }
  return "";
}

double UnguidedShare(const RolloutLimits& limits) {
  return limits.max_bad_share * kTrialPartOfShare;
}

RolloutController::RolloutController(const RolloutOrder& order,
                                     const RolloutLimits& limits,
                                     std::int64_t started_ms,
                                     std::int64_t now_ms)
    : order(order),
      limits(limits),
      started_ms(started_ms),
      begun_ms(now_ms),
      stage_begun_ms(now_ms),
      share(UnguidedShare(limits)) {}

void RolloutController::Adopt(RolloutStage reached, std::int64_t now_ms) {
  if (reached > this->stage && reached < RolloutStage::kEmptied) {
    this->Enter(reached, "adopted", now_ms);
  }
}

std::int64_t RolloutController::TrialMs() const {
  return std::min(PartOf(this->order.duration_ms, kTrialPart), kMaxTrialMs);
}

std::int64_t RolloutController::StepMs() const {
  return std::min(PartOf(this->order.duration_ms, kStepPart), kMaxStepMs);
}

// A version that turns bad late or with more load is judged by its answers in
// the present stage as well, which the good ones from before would hide.
VersionVerdict RolloutController::Judge(const AnswersByRoute& answers) const {
  AnswersByRoute in_stage = answers;
  for (const auto& [route, before] : this->answers_at_stage_begin) {
    in_stage[route].target.Subtract(before.target);
  }
  const VersionVerdict recent = JudgeVersion(in_stage);
  return recent.quality == VersionQuality::kBad ? recent
                                                : JudgeVersion(answers);
}

void RolloutController::Enter(RolloutStage next, std::string_view reason,
                              std::int64_t now_ms) {
  this->stage = next;
  this->stage_begun_ms = now_ms;
  this->share = ShareOf(next);
  this->why = std::string(reason);
}

// A service with few requests needs a larger share for enough answers. It may
// take what the limits leave after the requests that the target version would
// still get if it proved bad under load at the end.
double RolloutController::TrialShare(const RolloutEvidence& evidence,
                                     std::int64_t now_ms) const {
  const double least = UnguidedShare(this->limits);
  const std::int64_t elapsed_ms = now_ms - this->started_ms;
  if (evidence.requests < kMinRequestsForRate || elapsed_ms <= 0) {
    return least;
  }
  const double per_ms =
      static_cast<double>(evidence.requests) / static_cast<double>(elapsed_ms);
  const double expected = per_ms * static_cast<double>(this->order.duration_ms);
  const double left = this->limits.max_bad_share * expected +
                      this->limits.max_bad_requests - per_ms * kDetectionMs -
                      static_cast<double>(TargetAnswers(evidence.answers));
  const std::int64_t trial_left_ms =
      std::max(this->TrialMs() - elapsed_ms, kMinTrialLeftMs);
  const double share = left / (per_ms * static_cast<double>(trial_left_ms));
  return std::clamp(share, least, kMaxTrialShare);
}

void RolloutController::AdvanceTrial(const RolloutEvidence& evidence,
                                     std::int64_t now_ms) {
  this->share = this->TrialShare(evidence, now_ms);
  if (this->IsCollecting(now_ms)) {
    return;
  }
  const std::int64_t elapsed_ms = now_ms - this->started_ms;
  const bool is_sound = this->verdict.quality == VersionQuality::kSound;
  if (is_sound && elapsed_ms >= this->TrialMs()) {
    this->Enter(RolloutStage::kPartial, "sound", now_ms);
    return;
  }
  const std::int64_t left_ms = this->order.duration_ms - elapsed_ms;
  const std::int64_t margin_ms =
      std::max(kMinRollBackMs, PartOf(this->order.duration_ms, kRollBackPart));
  if (left_ms <= margin_ms) {
    this->Enter(RolloutStage::kRolledBack,
                this->verdict.answers == 0 ? "no_answers" : "too_few_answers",
                now_ms);
  }
}

void RolloutController::AdvanceStep(const AnswersByRoute& answers,
                                    std::int64_t now_ms) {
  const std::int64_t lasted_ms = now_ms - this->stage_begun_ms;
  const bool has_answers =
      TargetAnswers(answers) - TargetAnswers(this->answers_at_stage_begin) >=
      kStepAnswers;
  const std::int64_t needed_ms =
      has_answers ? this->StepMs() : kStepPatience * this->StepMs();
  if (lasted_ms >= needed_ms) {
    this->Enter(static_cast<RolloutStage>(static_cast<int>(this->stage) + 1),
                "sound", now_ms);
  }
}

bool RolloutController::Advance(const RolloutEvidence& evidence,
                                std::int64_t now_ms) {
  const AnswersByRoute& answers = evidence.answers;
  const RolloutStage before = this->stage;
  if (before == RolloutStage::kRolledBack) {
    return false;
  }
  this->verdict = this->Judge(answers);
  if (this->verdict.quality == VersionQuality::kBad) {
    this->Enter(RolloutStage::kRolledBack,
                VersionFaultName(this->verdict.fault), now_ms);
  } else if (before == RolloutStage::kTrial) {
    this->AdvanceTrial(evidence, now_ms);
  } else if (before < RolloutStage::kEmptying) {
    this->AdvanceStep(answers, now_ms);
  } else if (before == RolloutStage::kEmptying && evidence.others_idle) {
    this->Enter(RolloutStage::kEmptied, "others_idle", now_ms);
  }
  if (this->stage != before) {
    this->answers_at_stage_begin = answers;
  }
  return this->stage != before;
}

}  // namespace meadowthread
