#include "exchange/lag_watch.h"

#include "exchange/view_sharer.h"

namespace meadowthread {

void LagWatch::Compare(std::span<const KindDigest> own,
                       std::span<const ViewPart> peer, std::int64_t now_ms) {
  for (const KindDigest& digest : own) {
    const ViewPart* const theirs = detail::FindKind(peer, digest.kind);
    Lag& lag = this->lags[digest.kind];
    if (lag.revision != digest.revision) {
      lag = Lag{digest.revision, now_ms, false};
    }
    const bool is_behind = theirs != nullptr && theirs->ask_anew;
    if (is_behind && !lag.behind) {
      lag.behind = true;
      lag.since_ms = now_ms;
    }
  }
}

bool LagWatch::TakeAskAnew(std::string_view kind, std::int64_t now_ms) {
  const auto found = this->lags.find(kind);
  if (found == this->lags.end() || !found->second.behind ||
      now_ms - found->second.since_ms < kAskAnewAfterMs) {
    return false;
  }
  found->second.since_ms = now_ms;
  return true;
}

}  // namespace meadowthread
