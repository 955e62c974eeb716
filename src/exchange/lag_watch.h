#ifndef MEADOWTHREAD_EXCHANGE_LAG_WATCH_H_
#define MEADOWTHREAD_EXCHANGE_LAG_WATCH_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "exchange/exchange_message.h"

namespace meadowthread {

/// @brief How long a kind may stay behind peers before its whole state is
/// asked for, in milliseconds.
inline constexpr std::int64_t kAskAnewAfterMs = 5000;

/// @brief Notices kinds that stay behind, where peers say that no delta helps.
///
/// A host that peers can't send a delta any more (they no longer keep the
/// tombstones since its revision) gets only whole state further. Others may
/// still have the delta, so it waits a little before it asks.
class LagWatch {
 public:
  /// @brief Compares what is known here with what a peer shows.
  void Compare(std::span<const KindDigest> own, std::span<const ViewPart> peer,
               std::int64_t now_ms);

  /// @brief Whether to ask for the kind's whole state now; says so once, and
  /// again only after the time has passed anew.
  bool TakeAskAnew(std::string_view kind, std::int64_t now_ms);

 private:
  struct Lag {
    std::int64_t revision = -1;
    std::int64_t since_ms = 0;  ///< behind at this revision
    bool behind = false;
  };

  std::map<std::string, Lag, std::less<>> lags;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_LAG_WATCH_H_
