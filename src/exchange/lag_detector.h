#ifndef MEADOWTHREAD_EXCHANGE_LAG_DETECTOR_H_
#define MEADOWTHREAD_EXCHANGE_LAG_DETECTOR_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "exchange/exchange_message.h"

namespace meadowthread {

/// @brief How long a kind may stay behind peers before its full state is
/// requested, in milliseconds.
inline constexpr std::int64_t kRequestFullStateAfterMs = 5000;

/// @brief Detects kinds that stay behind and for which peers can't send a
/// delta.
///
/// Peers that no longer keep the tombstones since this host's revision can't
/// send a delta, only the full state. Other peers may still have the delta, so
/// the request for the full state is delayed.
class LagDetector {
 public:
  /// @brief Records which kinds a peer's message shows to need the full state.
  void Compare(std::span<const KindDigest> own,
               std::span<const KindUpdate> peer, std::int64_t now_ms);

  /// @brief Whether to request the kind's full state now. Returns true once and
  /// again only after kRequestFullStateAfterMs.
  bool TakeFullStateRequest(std::string_view kind, std::int64_t now_ms);

 private:
  struct LagState {
    std::int64_t revision = -1;
    std::int64_t since_ms = 0;  ///< when it fell behind at `revision`
    bool behind = false;
  };

  std::map<std::string, LagState, std::less<>> lags;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_LAG_DETECTOR_H_
