#ifndef MEADOWTHREAD_RELAY_STORE_ABSENCE_H_
#define MEADOWTHREAD_RELAY_STORE_ABSENCE_H_

#include <cstdint>
#include <optional>

#include "relay/entry_lapse.h"

namespace meadowthread {

/// @brief A time in which the store answered without a break; monotonic
/// milliseconds.
struct StoreStretch {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// @brief For how long the store has answered without a break, and so whether
/// an entry that vanishes may have lapsed.
///
/// Answers the load pattern "entries vanish soon after the store was away":
/// those of living servers lapsed and come back, those of servers that left do
/// not. Only the store's own absence makes the difference. A host whose way to
/// it was bad, or that does not read it, learns from the hosts that do.
class StoreAbsence final : public EntryLapse {
 public:
  /// @brief Without an answer for this long, entries may lapse: after three
  /// heartbeats of 1.2 s, the last of which may have come one heartbeat before
  /// the store went, and answers are noticed up to 0.3 s late.
  static constexpr std::int64_t kAwayMs = 2'100;
  /// @brief After the store's return living servers are listed anew within
  /// about two seconds; an entry that is missing then is that of a server that
  /// is gone.
  static constexpr std::int64_t kRelistMs = 2'200;
  /// @brief What nobody vouches for counts no longer than this: less than a
  /// server that left may be sent something.
  static constexpr std::int64_t kUnknownMs = 1'500;

  /// @brief A call of this host was answered.
  void NoteAnswer(std::int64_t now_ms);

  /// @brief Takes what another host's calls were answered.
  void NoteWord(const StoreStretch& word);

  /// @brief The last stretch in which this host's own calls were answered
  /// without a break; none where none was.
  const std::optional<StoreStretch>& Own() const { return this->own; }

  /// @brief As EntryLapse, by all stretches that are known. A store that goes
  /// away again gives an entry no more time.
  std::int64_t LapsesUntilMs(std::int64_t vanished_ms,
                             std::int64_t now_ms) const override;

 private:
  std::optional<StoreStretch> own;
  std::optional<StoreStretch> told;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_STORE_ABSENCE_H_
