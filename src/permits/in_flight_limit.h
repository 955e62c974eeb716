#ifndef MEADOWTHREAD_PERMITS_IN_FLIGHT_LIMIT_H_
#define MEADOWTHREAD_PERMITS_IN_FLIGHT_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace meadowthread {

/// @brief How many calls a brittle server may have in flight, as the host that
/// grants its permits counts them.
///
/// A rate alone admits by chance more calls at once than the server has slots,
/// and each chance rejection would lower the rate. The limit follows from the
/// number in flight when the server rejected one, and rises by one at a time
/// while it is reached and nothing is rejected.
class InFlightLimit {
 public:
  /// @brief Whether one more call may be sent now. Raises the limit by one if
  /// it is reached and has not changed for `raise_after_ms`.
  bool MayStart(std::int64_t now_ms, std::int64_t raise_after_ms);

  /// @brief Counts a call that was permitted.
  /// @param[in] call its number, higher than those of earlier calls
  void NoteStarted(std::uint64_t call, std::int64_t now_ms) {
    this->started_ms.emplace(call, now_ms);
  }

  /// @brief Counts the end of a call; ignored if it is not in flight.
  void NoteEnded(std::uint64_t call) { this->started_ms.erase(call); }

  /// @brief Lowers the limit because the server rejected a call, which is still
  /// counted as in flight; ignored if none is.
  void NoteRejected(std::int64_t now_ms);

  /// @brief The limit; nullopt: the server has not rejected a counted call.
  std::optional<std::size_t> Limit() const { return this->limit; }

  std::size_t InFlight() const { return this->started_ms.size(); }

 private:
  void DropLost(std::int64_t now_ms);

  /// When the calls in flight were permitted, by their numbers.
  std::map<std::uint64_t, std::int64_t> started_ms;
  std::optional<std::size_t> limit;
  std::int64_t changed_ms = 0;  ///< when the limit last changed
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_IN_FLIGHT_LIMIT_H_
