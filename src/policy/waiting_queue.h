#ifndef MEADOWTHREAD_POLICY_WAITING_QUEUE_H_
#define MEADOWTHREAD_POLICY_WAITING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/work_item.h"

namespace meadowthread {

/// @brief A request that waits for an engine with capacity.
struct WaitingRequest {
  std::string host;          ///< the host that holds the caller's request
  std::uint64_t ticket = 0;  ///< unique within the host
  WorkItem work;
  std::int64_t queued_ms = 0;    ///< when it was first added
  std::int64_t renewed_ms = 0;   ///< when the host last asked for it
  std::int64_t begin_by_ms = 0;  ///< latest time for placing it
};

/// @brief Why a request left the queue without an engine.
enum class DropReason {
  kTooLate,     ///< it can no longer begin in time
  kNotRenewed,  ///< its host has not asked for it for too long
  kQueueFull,   ///< evicted in favor of others
};

/// @brief A request that left the queue without an engine.
struct DroppedRequest {
  WaitingRequest request;
  DropReason reason = DropReason::kTooLate;
  std::int64_t retry_after_ms = 0;
};

/// @brief Limits of a WaitingQueue.
struct WaitingQueueOptions {
  std::size_t max_entries = 512;
  /// An entry that its host has not renewed for this long is dropped.
  std::int64_t max_silence_ms = 1'000;
  /// How often work of the same urgency may overtake a request.
  int max_overtaken = 32;
  /// While less urgent work waits, every n-th placement goes to it.
  int less_urgent_turn = 8;
};

/// @brief Decides which of the requests that wait for engines is served first
/// when capacity is short, and which are given up.
class WaitingQueue {
 public:
  explicit WaitingQueue(WaitingQueueOptions options = {});

  /// @brief Adds a request, or renews the one with its host and ticket.
  /// @return the request that left because the queue is full, which may be the
  /// one added
  std::optional<DroppedRequest> Add(const WaitingRequest& request,
                                    std::int64_t now_ms, std::uint64_t random);

  /// @brief Removes a request, for instance because its caller is gone.
  /// @return whether it was queued
  bool Remove(std::string_view host, std::uint64_t ticket);

  /// @brief Removes and returns the requests that can no longer begin in time
  /// or were not renewed.
  std::vector<DroppedRequest> TakeExpired(std::int64_t now_ms,
                                          std::uint64_t random);

  /// @brief The requests in the order in which they are to be offered capacity;
  /// valid until the queue changes.
  /// @complexity O(n log n)
  std::vector<const WaitingRequest*> ServiceOrder() const;

  /// @brief Removes a request that got an engine, and charges its workspace.
  void NotePlaced(std::string_view host, std::uint64_t ticket,
                  std::int64_t now_ms);

  /// @brief Expected time until work like this, if added now, is placed; 0 if
  /// nothing waits ahead of it or the rate of placements is not known.
  std::int64_t ExpectedWaitMs(const WorkItem& work, std::int64_t now_ms) const;

  std::size_t Size() const;

  /// @brief How long the oldest request has been queued; 0 if there is none.
  std::int64_t OldestMs(std::int64_t now_ms) const;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_WAITING_QUEUE_H_
