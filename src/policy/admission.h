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
#include "policy/work_item.h"

namespace meadowthread {

/// @brief Outcome of offering work to the admission queue.
enum class AdmissionVerdict { kAdmitted, kQueued, kRefused };

/// @brief Why work was refused or removed from the queue.
enum class RefusalReason {
  kNone,
  kQueueFull,  ///< the queue of its urgency is full
  /// its workspace already holds its maximum share of the queue
  kWorkspaceShare,
  kDeadlinePassed,   ///< its deadline passed, on arrival or while it was queued
  kDeadlineTooNear,  ///< its deadline is before its expected start
  /// it was queued for the longest time that its urgency allows
  kWaitedTooLong,
};

/// @brief The reason's name in log lines.
std::string_view RefusalReasonName(RefusalReason reason);

/// @brief Result of AdmissionQueue::Offer.
struct AdmissionResult {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason reason = RefusalReason::kNone;
  std::int64_t retry_after_ms = 0;  ///< with random jitter; set if refused
};

/// @brief Queued work that was removed without having been sent.
struct ExpiredWork {
  WorkItem work;
  RefusalReason reason = RefusalReason::kNone;
  std::int64_t retry_after_ms = 0;
};

/// @brief Tests whether an engine has room for one piece of work now.
class CapacityProbe {
 public:
  virtual ~CapacityProbe() = default;
  virtual bool Fits(const WorkItem& work) = 0;
};

/// @brief Size, wait and fairness limits of the queues, by urgency.
struct AdmissionOptions {
  std::array<std::size_t, kUrgencyCount> max_queued = {256, 512, 512};
  std::array<std::int64_t, kUrgencyCount> max_wait_ms = {10'000, 120'000,
                                                         600'000};
  /// Largest fraction of a queue that one workspace may hold; applies once the
  /// queue is half full.
  double workspace_share = 0.5;
  /// How often the first item of a workspace's queue may be skipped because no
  /// engine has room for it. After that, other workspaces' work for the same
  /// model waits until the item is removed.
  int max_bypass = 32;
};

/// @brief Bounded admission queues, one for each urgency.
///
/// More urgent work goes first. Within one urgency, workspaces share capacity
/// fairly by tokens (start-time fair queueing); within one workspace, order is
/// first in, first out.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options = {});

  /// @brief Admits, queues or refuses new work.
  /// @param[in] probe called only if no work of the same or a higher urgency is
  /// queued
  /// @param[in] random source of the jitter in retry_after_ms
  AdmissionResult Offer(const WorkItem& work, CapacityProbe& probe,
                        std::int64_t now_ms, std::uint64_t random);

  /// @brief Removes and returns the next work that fits; empty if none does.
  std::optional<WorkItem> Next(CapacityProbe& probe, std::int64_t now_ms);

  /// @brief Removes and returns all work that has waited too long or whose
  /// deadline has passed.
  std::vector<ExpiredWork> Expire(std::int64_t now_ms, std::uint64_t random);

  /// @brief Removes one request, for instance because its caller disconnected.
  bool Remove(std::string_view request);

  /// @brief Number of items queued at one urgency.
  std::size_t Queued(Urgency urgency) const;

  /// @brief Number of items that a workspace has queued at one urgency.
  std::size_t QueuedOf(Urgency urgency, std::string_view workspace) const;

  /// @brief Expected queueing time of new work of this urgency, in
  /// milliseconds; 0 if the queue is empty or its service rate is not known
  /// yet.
  std::int64_t ExpectedWaitMs(Urgency urgency, std::int64_t now_ms) const;

 private:
  struct Flow {  ///< queue of one workspace at one urgency
    std::string workspace;
    std::deque<WorkItem> items;
    /// Position on the level's virtual clock, which counts tokens.
    std::int64_t start_tag = 0;
    int bypass_count = 0;
  };

  struct UrgencyLevel {       ///< queues of one urgency
    std::vector<Flow> flows;  ///< non-empty flows only
    /// Start tags of workspaces whose queue ran empty, by workspace.
    StringMap<std::int64_t> saved_start_tags;
    std::int64_t virtual_time = 0;  ///< start tag of the flow served last
    std::size_t size = 0;
    double recently_served = 0.0;  ///< exponentially decaying count
    std::int64_t served_ms = 0;    ///< when `recently_served` was last updated
  };

  std::int64_t RetryAfterMs(Urgency urgency, std::int64_t now_ms,
                            std::uint64_t random) const;
  RefusalReason WhyNotQueued(const WorkItem& work, std::int64_t now_ms) const;
  bool IsEmptyUpTo(Urgency urgency) const;
  void Enqueue(const WorkItem& work);
  std::optional<WorkItem> NextInLevel(UrgencyLevel& level,
                                      CapacityProbe& probe) const;
  static std::vector<std::size_t> ServiceOrder(const UrgencyLevel& level);
  static const Flow* StarvedFlow(const UrgencyLevel& level, int max_bypass);
  static WorkItem PopHead(UrgencyLevel& level, Flow& flow);
  static void RemoveEmptyFlows(UrgencyLevel& level);
  static void RecordServed(UrgencyLevel& level, std::int64_t now_ms);
  RefusalReason WhyExpired(const WorkItem& work, std::int64_t now_ms) const;

  AdmissionOptions options;
  std::array<UrgencyLevel, kUrgencyCount> levels;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ADMISSION_H_
