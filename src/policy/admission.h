#ifndef MEADOWTHREAD_POLICY_ADMISSION_H_
#define MEADOWTHREAD_POLICY_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/string_map.h"
#include "policy/work.h"

namespace meadowthread {

/// @brief What became of an offered piece of work.
enum class AdmissionVerdict { kAdmitted, kQueued, kRefused };

/// @brief Why work was refused or given up.
enum class RefusalReason {
  kNone,
  kQueueFull,        ///< the queue for its urgency is full
  kWorkspaceShare,   ///< its workspace has more than its share queued
  kDeadlinePassed,   ///< its deadline came while it waited
  kDeadlineTooNear,  ///< it would not be reached before its deadline
  kWaitedTooLong,    ///< it waited as long as its urgency may
};

/// @brief The reason's name in log lines.
std::string_view RefusalReasonName(RefusalReason reason);

/// @brief The answer to an offer.
struct AdmissionAnswer {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason reason = RefusalReason::kNone;
  std::int64_t retry_after_ms = 0;  ///< spread, where refused
};

/// @brief Queued work that was given up on.
struct GivenUp {
  WorkItem work;
  RefusalReason reason = RefusalReason::kNone;
  std::int64_t retry_after_ms = 0;
};

/// @brief Asked whether one piece of work could be sent now.
class CapacityProbe {
 public:
  virtual ~CapacityProbe() = default;
  virtual bool Fits(const WorkItem& work) = 0;
};

/// @brief Bounds of the queues.
struct AdmissionOptions {
  std::array<std::size_t, kUrgencies> max_queued = {256, 512, 512};
  std::array<std::int64_t, kUrgencies> max_wait_ms = {10'000, 120'000, 600'000};
  double workspace_share = 0.5;  ///< of a queue, once the queue is half full
  int max_bypass = 32;  ///< times a head may be passed over for lack of room
};

/// @brief Bounded queues: urgent first, then fair between workspaces by
/// tokens (start-time fair queueing), first come first served within one.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options = {});

  /// @brief Takes work in, or refuses it at once.
  /// @param[in] probe asked only where nothing of its urgency or above waits
  /// @param[in] random spreads the time to come back
  AdmissionAnswer Offer(const WorkItem& work, CapacityProbe& probe,
                        std::int64_t now_ms, std::uint64_t random);

  /// @brief Takes out the next work that fits; empty where none does.
  std::optional<WorkItem> Next(CapacityProbe& probe, std::int64_t now_ms);

  /// @brief Takes out all that is not worth waiting for any more.
  std::vector<GivenUp> Expire(std::int64_t now_ms, std::uint64_t random);

  /// @brief Takes out one request (its caller went away).
  bool Remove(std::string_view request);

  std::size_t Queued(Urgency urgency) const;
  std::size_t QueuedOf(Urgency urgency, std::string_view workspace) const;

  /// @brief How long work of this urgency would wait now, milliseconds; 0
  /// where nothing waits or no rate is known yet.
  std::int64_t ExpectedWaitMs(Urgency urgency, std::int64_t now_ms) const;

 private:
  struct Lane {  ///< one workspace's work of one urgency
    std::string workspace;
    std::deque<WorkItem> items;
    std::int64_t start = 0;  ///< tokens served, on the level's virtual clock
    int bypassed = 0;
  };

  struct Level {                    ///< one urgency
    std::vector<Lane> lanes;        ///< those with work
    StringMap<std::int64_t> ahead;  ///< emptied lanes
    std::int64_t virtual_now = 0;   ///< start of the lane served last
    std::size_t size = 0;
    double taken = 0.0;         ///< lately, decaying
    std::int64_t taken_ms = 0;  ///< when `taken` was last brought up to date
  };

  std::int64_t RetryAfterMs(Urgency urgency, std::int64_t now_ms,
                            std::uint64_t random) const;
  RefusalReason WhyNotQueued(const WorkItem& work, std::int64_t now_ms) const;
  bool NothingAhead(Urgency urgency) const;
  void Enqueue(const WorkItem& work);
  std::optional<WorkItem> NextOf(Level& level, CapacityProbe& probe) const;
  static std::vector<std::size_t> TurnOrder(const Level& level);
  static const Lane* StarvedLane(const Level& level, int max_bypass);
  static WorkItem TakeHead(Level& level, Lane& lane);
  static void DropEmptyLanes(Level& level);
  static void NoteTaken(Level& level, std::int64_t now_ms);
  RefusalReason WhyGiveUp(const WorkItem& work, std::int64_t now_ms) const;

  AdmissionOptions options;
  std::array<Level, kUrgencies> levels;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ADMISSION_H_
