#include "relay/store_outage_tracker.h"

#include <algorithm>

namespace meadowthread {
namespace {

bool AreContiguous(const StoreUptime& one, const StoreUptime& other) {
  const std::int64_t gap_ms =
      std::max(one.from_ms, other.from_ms) - std::min(one.to_ms, other.to_ms);
  return gap_ms < StoreOutageTracker::kOutageMs;
}

// Two intervals with less than kOutageMs between them become one: while one
// host got no answer, another one did. Otherwise only the later interval
// counts.
StoreUptime Merged(const StoreUptime& one, const StoreUptime& other) {
  if (AreContiguous(one, other)) {
    return {std::min(one.from_ms, other.from_ms),
            std::max(one.to_ms, other.to_ms)};
  }
  return one.to_ms > other.to_ms ? one : other;
}

}  // namespace

void StoreOutageTracker::RecordAnswer(std::int64_t now_ms) {
  const StoreUptime answer = {now_ms, now_ms};
  this->own = this->own.has_value() ? Merged(*this->own, answer) : answer;
}

void StoreOutageTracker::RecordRestore(std::int64_t now_ms) {
  this->restored_ms = now_ms;
  this->own = StoreUptime{now_ms, now_ms};
  this->from_peers.reset();
}

void StoreOutageTracker::RecordPeerUptime(const StoreUptime& uptime) {
  this->from_peers =
      this->from_peers.has_value() ? Merged(*this->from_peers, uptime) : uptime;
}

std::int64_t StoreOutageTracker::GraceEndsMs(std::int64_t vanished_ms,
                                             std::int64_t now_ms) const {
  std::optional<StoreUptime> known = this->own;
  if (this->from_peers.has_value()) {
    known = known.has_value() ? Merged(*known, *this->from_peers)
                              : *this->from_peers;
  }
  const bool is_up =
      known.has_value() && AreContiguous(*known, {now_ms, now_ms});
  if (is_up && this->restored_ms > 0) {
    known->from_ms = std::max(known->from_ms, this->restored_ms);
  }
  return is_up ? std::min(known->from_ms, vanished_ms) + kReregistrationMs
               : vanished_ms + kUnconfirmedGraceMs;
}

}  // namespace meadowthread
