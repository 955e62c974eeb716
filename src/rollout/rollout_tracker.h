#ifndef MEADOWTHREAD_ROLLOUT_ROLLOUT_TRACKER_H_
#define MEADOWTHREAD_ROLLOUT_ROLLOUT_TRACKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/rollout.h"
#include "rollout/rollout_controller.h"
#include "rollout/rollout_messages.h"

namespace meadowthread {

/// @brief What one host knows of one rollout, and what follows for its
/// requests.
///
/// Only speeds up or slows down: a host that hears nothing keeps to the share
/// of the trial, so that old knowledge never widens what a version gets. Once
/// any host has called the version bad, this host sends it nothing.
class RolloutTracker {
 public:
  /// How long the progress told by an evaluating host counts. It is told
  /// twice a second, so that several messages in a row may be lost.
  static constexpr std::int64_t kProgressValidMs = 2'500;

  /// @param[in] rollout as read from the store
  /// @param[in] version version of its object in the store
  /// @param[in] now_ms monotonic
  RolloutTracker(const Rollout& rollout, std::int64_t version,
                 const RolloutLimits& limits, std::int64_t now_ms);

  /// @brief Applies a newer version of the object with the same order. A
  /// decision that is known stands, also if the newer version lacks it: it
  /// comes from an older copy of the store then.
  void SetStatus(const Rollout& rollout, std::int64_t version);

  /// @brief Excludes the target of an order that this one has replaced before
  /// it was decided.
  void Exclude(const std::string& version) {
    this->abandoned.push_back(version);
  }

  /// @brief Applies progress told by an evaluating host.
  /// @return whether it is new, and so worth passing on
  bool ApplyProgress(const RolloutProgress& progress, std::int64_t now_ms);

  /// @brief Whether the rollout is not decided yet, as far as is known here.
  bool IsRunning() const;

  /// @brief The stage that counts for this host's requests. A rollout that is
  /// over is at kEmptied or kRolledBack.
  RolloutStage Stage(std::int64_t now_ms) const;

  /// @brief Share of new requests for the target version, 0 to 1.
  double Share(std::int64_t now_ms) const;

  /// @brief Versions whose servers must get no requests.
  std::vector<std::string> ExcludedVersions() const;

  /// @brief Whether an evaluating host has called the target version bad.
  bool IsCalledBad() const { return this->called_bad; }

  /// @brief Whether an evaluating host's progress counts at this time.
  bool IsGuided(std::int64_t now_ms) const {
    return this->BestProgress(now_ms) != nullptr;
  }

  /// @brief Whether the store lacks the decision that is known.
  bool LacksDecision() const { return this->lacks_decision; }

  const Rollout& Stored() const { return this->rollout; }
  std::int64_t Version() const { return this->version; }
  std::int64_t FirstSeenMs() const { return this->first_seen_ms; }

 private:
  struct Told {
    RolloutProgress progress;
    std::int64_t heard_ms = 0;
  };

  const RolloutProgress* BestProgress(std::int64_t now_ms) const;
  bool IsOver(RolloutState state) const;
  bool IsDecided(const Rollout& one) const;

  Rollout rollout;
  std::int64_t version;
  RolloutLimits limits;
  std::int64_t first_seen_ms;
  /// By rank of the host, the best first; see EvaluatorScore.
  std::map<std::uint64_t, Told, std::greater<>> told;
  bool lacks_decision = false;
  bool called_bad = false;             ///< by an evaluating host
  std::vector<std::string> abandoned;  ///< targets of replaced orders
};

/// @brief Ranks the hosts that may evaluate a service's rollout: those with the
/// highest scores do.
std::uint64_t EvaluatorScore(std::string_view host, std::string_view service);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_ROLLOUT_TRACKER_H_
