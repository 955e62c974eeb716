#include "exchange/lag_detector.h"

#include "exchange/view_synchronizer.h"

namespace meadowthread {

void LagDetector::Compare(std::span<const KindDigest> own,
                          std::span<const KindUpdate> peer,
                          std::int64_t now_ms) {
  for (const KindDigest& digest : own) {
    const KindUpdate* const theirs = detail::FindKind(peer, digest.kind);
    LagState& lag = this->lags[digest.kind];
    if (lag.revision != digest.revision) {
      lag = LagState{digest.revision, now_ms, false};
    }
    const bool is_behind = theirs != nullptr && theirs->full_state_required;
    if (is_behind && !lag.behind) {
      lag.behind = true;
      lag.since_ms = now_ms;
    }
  }
}

bool LagDetector::TakeFullStateRequest(std::string_view kind,
                                       std::int64_t now_ms) {
  const auto found = this->lags.find(kind);
  if (found == this->lags.end() || !found->second.behind ||
      now_ms - found->second.since_ms < kRequestFullStateAfterMs) {
    return false;
  }
  found->second.since_ms = now_ms;
  return true;
}

}  // namespace meadowthread
