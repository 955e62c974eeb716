#include "policy/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <utility>

namespace meadowthread {
namespace {

// The rate at which a queue empties is taken over about this time.
constexpr double kRateWindowMs = 10'000.0;
// Below this many takes in the window the rate says nothing.
constexpr double kRateKnown = 3.0;
constexpr std::int64_t kLeastRetryMs = 1'000;
constexpr std::int64_t kMostRetryMs = 60'000;
// Times to come back are spread over this part of their base and upward.
constexpr double kSpreadFrom = 0.5;
// Work whose cost is not known counts as this many tokens.
constexpr std::int64_t kUnknownCost = 512;

// Emptied lanes remembered before those that count no more are dropped.
constexpr std::size_t kMostAhead = 1'024;

std::size_t LevelOf(Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

std::int64_t CostOf(const WorkItem& work) {
  return work.expected_tokens > 0 ? work.expected_tokens : kUnknownCost;
}

double Unit(std::uint64_t random) {
  constexpr double kScale = 0x1.0p-53;
  constexpr int kDropped = 11;
  return static_cast<double>(random >> kDropped) * kScale;
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

// -------------------------------------------------------------------- taking

AdmissionAnswer AdmissionQueue::Offer(const WorkItem& work,
                                      CapacityProbe& probe, std::int64_t now_ms,
                                      std::uint64_t random) {
  AdmissionAnswer answer;
  const bool late = work.deadline_ms > 0 && work.deadline_ms <= now_ms;
  if (!late && this->NothingAhead(work.urgency) && probe.Fits(work)) {
    NoteTaken(this->levels[LevelOf(work.urgency)], now_ms);
    answer.verdict = AdmissionVerdict::kAdmitted;
    return answer;
  }
  answer.reason = this->WhyNotQueued(work, now_ms);
  if (answer.reason != RefusalReason::kNone) {
    answer.retry_after_ms = this->RetryAfterMs(work.urgency, now_ms, random);
    return answer;
  }
  this->Enqueue(work);
  answer.verdict = AdmissionVerdict::kQueued;
  return answer;
}

bool AdmissionQueue::NothingAhead(Urgency urgency) const {
  for (std::size_t i = 0; i <= LevelOf(urgency); ++i) {
    if (this->levels[i].size > 0) {
      return false;
    }
  }
  return true;
}

RefusalReason AdmissionQueue::WhyNotQueued(const WorkItem& work,
                                           std::int64_t now_ms) const {
  const std::size_t level = LevelOf(work.urgency);
  const std::size_t most = this->options.max_queued[level];
  const std::size_t size = this->levels[level].size;
  if (work.deadline_ms > 0 && work.deadline_ms <= now_ms) {
    return RefusalReason::kDeadlinePassed;
  }
  if (size >= most) {
    return RefusalReason::kQueueFull;
  }
  const auto share = static_cast<std::size_t>(static_cast<double>(most) *
                                              this->options.workspace_share);
  if (size * 2 >= most &&
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
  Level& level = this->levels[LevelOf(work.urgency)];
  ++level.size;
  for (Lane& lane : level.lanes) {
    if (lane.workspace == work.workspace) {
      lane.items.push_back(work);
      return;
    }
  }
  Lane lane;
  lane.workspace = work.workspace;
  lane.start = level.virtual_now;
  const auto found = level.ahead.find(work.workspace);
  if (found != level.ahead.end()) {
    // What it was served beyond its turn before it emptied still counts.
    lane.start = std::max(lane.start, found->second);
    level.ahead.erase(found);
  }
  lane.items.push_back(work);
  level.lanes.push_back(std::move(lane));
}

std::optional<WorkItem> AdmissionQueue::Next(CapacityProbe& probe,
                                             std::int64_t now_ms) {
  for (Level& level : this->levels) {
    std::optional<WorkItem> work = this->NextOf(level, probe);
    if (work.has_value()) {
      NoteTaken(level, now_ms);
      return work;
    }
  }
  return std::nullopt;
}

std::optional<WorkItem> AdmissionQueue::NextOf(Level& level,
                                               CapacityProbe& probe) const {
  const Lane* const starved = StarvedLane(level, this->options.max_bypass);
  for (const std::size_t at : TurnOrder(level)) {
    Lane& lane = level.lanes[at];
    const WorkItem& head = lane.items.front();
    const bool held_back = starved != nullptr && starved != &lane &&
                           starved->items.front().model == head.model;
    if (held_back) {
      continue;
    }
    if (probe.Fits(head)) {
      return TakeHead(level, lane);
    }
    ++lane.bypassed;
  }
  return std::nullopt;
}

std::vector<std::size_t> AdmissionQueue::TurnOrder(const Level& level) {
  std::vector<std::size_t> order(level.lanes.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return level.lanes[a].start < level.lanes[b].start;
                   });
  return order;
}

const AdmissionQueue::Lane* AdmissionQueue::StarvedLane(const Level& level,
                                                        int max_bypass) {
  for (const Lane& lane : level.lanes) {
    if (lane.bypassed > max_bypass) {
      return &lane;
    }
  }
  return nullptr;
}

WorkItem AdmissionQueue::TakeHead(Level& level, Lane& lane) {
  WorkItem work = std::move(lane.items.front());
  lane.items.pop_front();
  lane.bypassed = 0;
  level.virtual_now = std::max(level.virtual_now, lane.start);
  lane.start += CostOf(work);
  --level.size;
  DropEmptyLanes(level);
  return work;
}

void AdmissionQueue::DropEmptyLanes(Level& level) {
  for (const Lane& lane : level.lanes) {
    if (lane.items.empty() && lane.start > level.virtual_now) {
      level.ahead[lane.workspace] = lane.start;
    }
  }
  std::erase_if(level.lanes,
                [](const Lane& lane) { return lane.items.empty(); });
  if (level.ahead.size() > kMostAhead) {
    absl::erase_if(level.ahead, [&](const auto& entry) {
      return entry.second <= level.virtual_now;
    });
  }
}

// ----------------------------------------------------------------- giving up

std::vector<GivenUp> AdmissionQueue::Expire(std::int64_t now_ms,
                                            std::uint64_t random) {
  std::vector<GivenUp> given_up;
  std::mt19937_64 spread(random);
  for (Level& level : this->levels) {
    for (Lane& lane : level.lanes) {
      std::deque<WorkItem> kept;
      for (WorkItem& work : lane.items) {
        const RefusalReason reason = this->WhyGiveUp(work, now_ms);
        if (reason == RefusalReason::kNone) {
          kept.push_back(std::move(work));
          continue;
        }
        --level.size;
        const std::int64_t retry =
            this->RetryAfterMs(work.urgency, now_ms, spread());
        given_up.push_back({std::move(work), reason, retry});
      }
      lane.items = std::move(kept);
    }
    DropEmptyLanes(level);
  }
  return given_up;
}

RefusalReason AdmissionQueue::WhyGiveUp(const WorkItem& work,
                                        std::int64_t now_ms) const {
  if (work.deadline_ms > 0 && work.deadline_ms <= now_ms) {
    return RefusalReason::kDeadlinePassed;
  }
  const std::int64_t most = this->options.max_wait_ms[LevelOf(work.urgency)];
  if (now_ms - work.arrived_ms > most) {
    return RefusalReason::kWaitedTooLong;
  }
  return RefusalReason::kNone;
}

bool AdmissionQueue::Remove(std::string_view request) {
  for (Level& level : this->levels) {
    for (Lane& lane : level.lanes) {
      const auto removed = std::erase_if(lane.items, [&](const WorkItem& work) {
        return work.request == request;
      });
      if (removed > 0) {
        level.size -= removed;
        DropEmptyLanes(level);
        return true;
      }
    }
  }
  return false;
}

// ------------------------------------------------------------------- reading

std::size_t AdmissionQueue::Queued(Urgency urgency) const {
  return this->levels[LevelOf(urgency)].size;
}

std::size_t AdmissionQueue::QueuedOf(Urgency urgency,
                                     std::string_view workspace) const {
  for (const Lane& lane : this->levels[LevelOf(urgency)].lanes) {
    if (lane.workspace == workspace) {
      return lane.items.size();
    }
  }
  return 0;
}

std::int64_t AdmissionQueue::ExpectedWaitMs(Urgency urgency,
                                            std::int64_t now_ms) const {
  const Level& level = this->levels[LevelOf(urgency)];
  const auto since = static_cast<double>(now_ms - level.taken_ms);
  const double taken = level.taken * std::exp(-since / kRateWindowMs);
  if (level.size == 0 || taken < kRateKnown) {
    return 0;
  }
  const double per_ms = taken / kRateWindowMs;
  return static_cast<std::int64_t>(static_cast<double>(level.size) / per_ms);
}

void AdmissionQueue::NoteTaken(Level& level, std::int64_t now_ms) {
  const auto since = static_cast<double>(now_ms - level.taken_ms);
  level.taken = level.taken * std::exp(-since / kRateWindowMs) + 1.0;
  level.taken_ms = now_ms;
}

std::int64_t AdmissionQueue::RetryAfterMs(Urgency urgency, std::int64_t now_ms,
                                          std::uint64_t random) const {
  const std::int64_t base = std::clamp(this->ExpectedWaitMs(urgency, now_ms),
                                       kLeastRetryMs, kMostRetryMs);
  // Spread, so that the refused do not all come back together.
  const double factor = kSpreadFrom + Unit(random);
  return static_cast<std::int64_t>(static_cast<double>(base) * factor);
}

}  // namespace meadowthread
