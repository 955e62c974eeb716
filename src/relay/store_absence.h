#ifndef MEADOWTHREAD_RELAY_STORE_ABSENCE_H_
#define MEADOWTHREAD_RELAY_STORE_ABSENCE_H_

#include <cstdint>
#include <optional>

namespace meadowthread {

/// @brief When the store was last away, by all answers that a host hears of.
///
/// Answers the load pattern "entries vanish soon after the store was away":
/// those of living servers lapsed and come back, those of servers that left do
/// not. What makes the difference is whether the store itself was away for long
/// enough, and since when it answers again; a host whose own way to it was bad
/// learns that from the others. Times are monotonic milliseconds.
class StoreAbsence {
 public:
  /// @brief Without a sign of the store for this long, entries may lapse: after
  /// three heartbeats of 1.2 s, the last of which may have come one heartbeat
  /// before. Signs by way of other hosts come up to 0.3 s late.
  static constexpr std::int64_t kAwayMs = 2'100;
  /// @brief After the store's return living servers are listed anew within
  /// about two seconds; an entry that is missing then is that of a server that
  /// is gone.
  static constexpr std::int64_t kRelistMs = 2'200;

  /// @brief Some host's call was answered, just now as far as is known.
  /// @return whether that is the first sign after an absence
  bool NoteSign(std::int64_t now_ms);

  /// @brief A call of this host was answered; a sign as well.
  /// @return as NoteSign
  bool NoteAnswer(std::int64_t now_ms);

  /// @brief Another host's calls have been answered without a break for so
  /// long: an absence that ended later was none.
  void NoteAnsweredFor(std::int64_t for_ms, std::int64_t now_ms);

  /// @brief How long this host's own calls have been answered without a break;
  /// none where they are not, or where it makes none.
  std::optional<std::int64_t> AnsweredForMs(std::int64_t now_ms) const;

  /// @brief Up to when an entry that is missing may have lapsed; 0: at no time.
  std::int64_t LapsesUntilMs() const;

  /// @brief How long ago the store came back; none where it never was away.
  std::optional<std::int64_t> BackForMs(std::int64_t now_ms) const;

 private:
  std::optional<std::int64_t> sign_ms;          ///< the last one
  std::optional<std::int64_t> back_ms;          ///< end of the last absence
  std::optional<std::int64_t> answer_ms;        ///< the last own one
  std::optional<std::int64_t> answering_since;  ///< own ones, without a break
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_STORE_ABSENCE_H_
