#include "policy/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <utility>

namespace meadowthread {
namespace {

// Time constant of the exponential average of a queue's service rate.
constexpr double kRateWindowMs = 10'000.0;
// With fewer items served (decaying count), the rate is unreliable.
constexpr double kMinServedForRate = 3.0;
constexpr std::int64_t kMinRetryMs = 1'000;
constexpr std::int64_t kMaxRetryMs = 60'000;
// Retry-After times are the base time multiplied by a random factor from this
// value up to one above it.
constexpr double kMinJitterFactor = 0.5;
// Cost of work whose expected tokens are not known.
constexpr std::int64_t kDefaultCostTokens = 512;

// Above this number of saved start tags, those that the virtual clock has
// already passed are erased.
constexpr std::size_t kMaxSavedStartTags = 1'024;

std::size_t LevelIndex(Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

std::int64_t CostInTokens(const WorkItem& work) {
  return work.expected_tokens > 0 ? work.expected_tokens : kDefaultCostTokens;
}

bool UseSameEngines(const WorkItem& a, const WorkItem& b) {
  return a.service == b.service && a.model == b.model;
}

double UnitInterval(std::uint64_t random) {
  constexpr double kScale = 0x1.0p-53;
  // Of 64 random bits, a double can represent 53 exactly.
  constexpr int kDiscardedBits = 11;
  return static_cast<double>(random >> kDiscardedBits) * kScale;
}

}  // namespace

std::string_view RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kWorkspaceShare:
      return "workspace_share";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kDeadlineTooNear:
      return "deadline_too_near";
    case RefusalReason::kWaitedTooLong:
      return "waited_too_long";
  }
  return "unknown";
}

AdmissionQueue::AdmissionQueue(AdmissionOptions options) : options(options) {}

// ---------------------------------------------------------------- admission

AdmissionResult AdmissionQueue::Offer(const WorkItem& work,
                                      CapacityProbe& probe, std::int64_t now_ms,
                                      std::uint64_t random) {
  AdmissionResult result;
  const bool late = work.deadline_ms > 0 && work.deadline_ms <= now_ms;
  if (!late && this->IsEmptyUpTo(work.urgency) && probe.Fits(work)) {
    RecordServed(this->levels[LevelIndex(work.urgency)], now_ms);
    result.verdict = AdmissionVerdict::kAdmitted;
    return result;
  }
  result.reason = this->WhyNotQueued(work, now_ms);
  if (result.reason != RefusalReason::kNone) {
    result.retry_after_ms = this->RetryAfterMs(work.urgency, now_ms, random);
    return result;
  }
  this->Enqueue(work);
  result.verdict = AdmissionVerdict::kQueued;
  return result;
}

bool AdmissionQueue::IsEmptyUpTo(Urgency urgency) const {
  for (std::size_t i = 0; i <= LevelIndex(urgency); ++i) {
    if (this->levels[i].size > 0) {
      return false;
    }
  }
  return true;
}

RefusalReason AdmissionQueue::WhyNotQueued(const WorkItem& work,
                                           std::int64_t now_ms) const {
  const std::size_t level = LevelIndex(work.urgency);
  const std::size_t limit = this->options.max_queued[level];
  const std::size_t size = this->levels[level].size;
  if (work.deadline_ms > 0 && work.deadline_ms <= now_ms) {
    return RefusalReason::kDeadlinePassed;
  }
  if (size >= limit) {
    return RefusalReason::kQueueFull;
  }
  const auto share = static_cast<std::size_t>(static_cast<double>(limit) *
                                              this->options.workspace_share);
  if (size * 2 >= limit &&
      this->QueuedOf(work.urgency, work.workspace) >= share) {
    return RefusalReason::kWorkspaceShare;
  }
  const std::int64_t wait = this->ExpectedWaitMs(work.urgency, now_ms);
  if (work.deadline_ms > 0 && now_ms + wait > work.deadline_ms) {
    return RefusalReason::kDeadlineTooNear;
  }
  if (wait > this->options.max_wait_ms[level]) {
    return RefusalReason::kQueueFull;
  }
  return RefusalReason::kNone;
}

void AdmissionQueue::Enqueue(const WorkItem& work) {
  UrgencyLevel& level = this->levels[LevelIndex(work.urgency)];
  ++level.size;
  for (Flow& flow : level.flows) {
    if (flow.workspace == work.workspace) {
      flow.items.push_back(work);
      return;
    }
  }
  Flow flow;
  flow.workspace = work.workspace;
  flow.start_tag = level.virtual_time;
  const auto found = level.saved_start_tags.find(work.workspace);
  if (found != level.saved_start_tags.end()) {
    // If the workspace was served ahead of its turn before its queue ran empty,
    // it still has to wait until the other workspaces have caught up.
    flow.start_tag = std::max(flow.start_tag, found->second);
    level.saved_start_tags.erase(found);
  }
  flow.items.push_back(work);
  level.flows.push_back(std::move(flow));
}

std::optional<WorkItem> AdmissionQueue::Next(CapacityProbe& probe,
                                             std::int64_t now_ms) {
  for (UrgencyLevel& level : this->levels) {
    std::optional<WorkItem> work = this->NextInLevel(level, probe);
    if (work.has_value()) {
      RecordServed(level, now_ms);
      return work;
    }
  }
  return std::nullopt;
}

std::optional<WorkItem> AdmissionQueue::NextInLevel(
    UrgencyLevel& level, CapacityProbe& probe) const {
  const Flow* const starved = StarvedFlow(level, this->options.max_bypass);
  for (const std::size_t at : ServiceOrder(level)) {
    Flow& flow = level.flows[at];
    const WorkItem& head = flow.items.front();
    const bool must_wait = starved != nullptr && starved != &flow &&
                           UseSameEngines(starved->items.front(), head);
    if (must_wait) {
      continue;
    }
    if (probe.Fits(head)) {
      return PopHead(level, flow);
    }
    ++flow.bypass_count;
  }
  return std::nullopt;
}

std::vector<std::size_t> AdmissionQueue::ServiceOrder(
    const UrgencyLevel& level) {
  std::vector<std::size_t> order(level.flows.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return level.flows[a].start_tag < level.flows[b].start_tag;
                   });
  return order;
}

const AdmissionQueue::Flow* AdmissionQueue::StarvedFlow(
    const UrgencyLevel& level, int max_bypass) {
  for (const Flow& flow : level.flows) {
    if (flow.bypass_count > max_bypass) {
      return &flow;
    }
  }
  return nullptr;
}

WorkItem AdmissionQueue::PopHead(UrgencyLevel& level, Flow& flow) {
  WorkItem work = std::move(flow.items.front());
  flow.items.pop_front();
  flow.bypass_count = 0;
  level.virtual_time = std::max(level.virtual_time, flow.start_tag);
  flow.start_tag += CostInTokens(work);
  --level.size;
  RemoveEmptyFlows(level);
  return work;
}

void AdmissionQueue::RemoveEmptyFlows(UrgencyLevel& level) {
  for (const Flow& flow : level.flows) {
    if (flow.items.empty() && flow.start_tag > level.virtual_time) {
      level.saved_start_tags[flow.workspace] = flow.start_tag;
    }
  }
  std::erase_if(level.flows,
                [](const Flow& flow) { return flow.items.empty(); });
  if (level.saved_start_tags.size() > kMaxSavedStartTags) {
    absl::erase_if(level.saved_start_tags, [&](const auto& entry) {
      return entry.second <= level.virtual_time;
    });
  }
}

// ------------------------------------------------------------------- expiry

std::vector<ExpiredWork> AdmissionQueue::Expire(std::int64_t now_ms,
                                                std::uint64_t random) {
  std::vector<ExpiredWork> expired;
  std::mt19937_64 jitter(random);
  for (UrgencyLevel& level : this->levels) {
    for (Flow& flow : level.flows) {
      std::deque<WorkItem> kept;
      for (WorkItem& work : flow.items) {
        const RefusalReason reason = this->WhyExpired(work, now_ms);
        if (reason == RefusalReason::kNone) {
          kept.push_back(std::move(work));
          continue;
        }
        --level.size;
        const std::int64_t retry =
            this->RetryAfterMs(work.urgency, now_ms, jitter());
        expired.push_back({std::move(work), reason, retry});
      }
      flow.items = std::move(kept);
    }
    RemoveEmptyFlows(level);
  }
  return expired;
}

RefusalReason AdmissionQueue::WhyExpired(const WorkItem& work,
                                         std::int64_t now_ms) const {
  if (work.deadline_ms > 0 && work.deadline_ms <= now_ms) {
    return RefusalReason::kDeadlinePassed;
  }
  const std::int64_t limit =
      this->options.max_wait_ms[LevelIndex(work.urgency)];
  if (now_ms - work.arrived_ms > limit) {
    return RefusalReason::kWaitedTooLong;
  }
  return RefusalReason::kNone;
}

bool AdmissionQueue::Remove(std::string_view request) {
  for (UrgencyLevel& level : this->levels) {
    for (Flow& flow : level.flows) {
      const auto removed = std::erase_if(flow.items, [&](const WorkItem& work) {
        return work.request == request;
      });
      if (removed > 0) {
        level.size -= removed;
        RemoveEmptyFlows(level);
        return true;
      }
    }
  }
  return false;
}

// ------------------------------------------------------------------ queries

std::size_t AdmissionQueue::Queued(Urgency urgency) const {
  return this->levels[LevelIndex(urgency)].size;
}

std::size_t AdmissionQueue::QueuedOf(Urgency urgency,
                                     std::string_view workspace) const {
  for (const Flow& flow : this->levels[LevelIndex(urgency)].flows) {
    if (flow.workspace == workspace) {
      return flow.items.size();
    }
  }
  return 0;
}

std::int64_t AdmissionQueue::ExpectedWaitMs(Urgency urgency,
                                            std::int64_t now_ms) const {
  const UrgencyLevel& level = this->levels[LevelIndex(urgency)];
  const auto since = static_cast<double>(now_ms - level.served_ms);
  const double recently_served =
      level.recently_served * std::exp(-since / kRateWindowMs);
  if (level.size == 0 || recently_served < kMinServedForRate) {
    return 0;
  }
  const double per_ms = recently_served / kRateWindowMs;
  return static_cast<std::int64_t>(static_cast<double>(level.size) / per_ms);
}

void AdmissionQueue::RecordServed(UrgencyLevel& level, std::int64_t now_ms) {
  const auto since = static_cast<double>(now_ms - level.served_ms);
  level.recently_served =
      level.recently_served * std::exp(-since / kRateWindowMs) + 1.0;
  level.served_ms = now_ms;
}

std::int64_t AdmissionQueue::RetryAfterMs(Urgency urgency, std::int64_t now_ms,
                                          std::uint64_t random) const {
  const std::int64_t base = std::clamp(this->ExpectedWaitMs(urgency, now_ms),
                                       kMinRetryMs, kMaxRetryMs);
  // Jitter keeps refused callers from retrying all at the same time.
  const double factor = kMinJitterFactor + UnitInterval(random);
  return static_cast<std::int64_t>(static_cast<double>(base) * factor);
}

}  // namespace meadowthread
