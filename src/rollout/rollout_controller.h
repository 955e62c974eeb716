#ifndef MEADOWTHREAD_ROLLOUT_ROLLOUT_CONTROLLER_H_
#define MEADOWTHREAD_ROLLOUT_ROLLOUT_CONTROLLER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "rollout/fleet_answers.h"
#include "rollout/rollout.h"
#include "rollout/version_judge.h"

namespace meadowthread {

/// @brief Limits on what a version that turns out to be bad may get.
struct RolloutLimits {
  /// Share of the service's requests, from the order to the end of its
  /// duration.
  double max_bad_share = 0.1;
  double max_bad_requests = 50.0;  ///< requests beyond that share
};

/// @brief Stages of a rollout, in their order.
enum class RolloutStage : int {
  kTrial = 0,       ///< the target version gets a small share
  kPartial = 1,     ///< a large part, so that faults under load show
  kAll = 2,         ///< all new requests
  kEmptying = 3,    ///< also running generations are moved to it
  kEmptied = 4,     ///< nothing runs at other versions: may be completed
  kRolledBack = 5,  ///< the target version gets nothing
};

/// @brief The stage's name in log lines.
std::string_view RolloutStageName(RolloutStage stage);

/// @brief Share of requests that the target version gets while no host tells
/// the others how far the rollout is.
double UnguidedShare(const RolloutLimits& limits);

/// @brief What the hosts have reported on a rollout.
struct RolloutEvidence {
  const AnswersByRoute& answers;
  /// Requests to the service that hosts have taken since the order.
  std::int64_t requests = 0;
  /// No host has a request in progress at a server of another version.
  bool others_idle = false;
};

/// @brief Drives one rollout through its stages.
///
/// Answers the load pattern "a version may fail at once, late, under load or on
/// one route only": it stays on trial for half of its time, with a
/// share that keeps within the limits even if it proves bad at the end, then
/// gets more in quick steps, each of which has to bring good answers. Reads no
/// clock and does no input or output.
class RolloutController {
 public:
  /// How long reports are collected before the time that has passed counts
  /// against the version. A host may begin to evaluate late in a rollout.
  static constexpr std::int64_t kCollectMs = 2'500;

  /// @param[in] started_ms when the order was given, monotonic
  /// @param[in] now_ms when this host begins to evaluate it, monotonic
  RolloutController(const RolloutOrder& order, const RolloutLimits& limits,
                    std::int64_t started_ms, std::int64_t now_ms);

  /// @brief Takes over the stage that another host's evaluation has reached, if
  /// it is further than this one.
  void Adopt(RolloutStage reached, std::int64_t now_ms);

  /// @brief Whether reports are still collected.
  bool IsCollecting(std::int64_t now_ms) const {
    return now_ms - this->begun_ms < kCollectMs;
  }

  /// @brief Moves on if the answers and the time allow it.
  /// @return whether the stage has changed
  bool Advance(const RolloutEvidence& evidence, std::int64_t now_ms);

  RolloutStage Stage() const { return this->stage; }
  /// @brief Monotonic time at which the stage began.
  std::int64_t StageBegunMs() const { return this->stage_begun_ms; }
  /// @brief Share of new requests that the target version gets, 0 to 1.
  double Share() const { return this->share; }
  /// @brief The last judgement.
  const VersionVerdict& Verdict() const { return this->verdict; }
  /// @brief Why the stage was entered, for log lines.
  std::string_view Why() const { return this->why; }

 private:
  VersionVerdict Judge(const AnswersByRoute& answers) const;
  void Enter(RolloutStage next, std::string_view reason, std::int64_t now_ms);
  void AdvanceTrial(const RolloutEvidence& evidence, std::int64_t now_ms);
  void AdvanceStep(const AnswersByRoute& answers, std::int64_t now_ms);
  double TrialShare(const RolloutEvidence& evidence, std::int64_t now_ms) const;
  std::int64_t TrialMs() const;
  std::int64_t StepMs() const;

  RolloutOrder order;
  RolloutLimits limits;
  std::int64_t started_ms;
  std::int64_t begun_ms;  ///< of this evaluation
  RolloutStage stage = RolloutStage::kTrial;
  std::int64_t stage_begun_ms;
  AnswersByRoute answers_at_stage_begin;
  double share;
  VersionVerdict verdict;
  std::string why;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_ROLLOUT_CONTROLLER_H_
