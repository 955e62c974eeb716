#ifndef MEADOWTHREAD_POLICY_STREAM_ADMISSION_H_
#define MEADOWTHREAD_POLICY_STREAM_ADMISSION_H_

#include <cstdint>

namespace meadowthread {

/// @brief What is known of a stream when it arrives.
struct StreamArrival {
  std::int64_t target_ms = 0;   ///< to its first event; 0: none wanted
  std::int64_t elapsed_ms = 0;  ///< since its caller's first attempt
  std::int64_t left_ms = 0;     ///< its caller waits this much longer
};

/// @brief What is to be done with a stream that arrives.
struct ArrivalPlan {
  /// It is sent only where its first event is expected within this; 0: to any
  /// engine with room.
  std::int64_t first_event_within_ms = 0;
  /// So long it waits for such an engine; then, or at once, it is refused.
  std::int64_t may_wait_ms = 0;
  bool is_late = false;  ///< it can't begin in time any more
};

/// @brief What StreamAdmission may be set to.
struct StreamAdmissionOptions {
  /// Refuse what is not expected to begin in time. Off: only memory counts.
  bool refuses_late = true;
  /// Let those who were refused before wait for room. Off: they are refused as
  /// the others are.
  bool lets_returned_wait = true;
  /// Spread the returns over the time that callers heed. Off: soon.
  bool spreads_returns = true;
};

/// @brief Decides what a stream waits for, and when a refused one comes back.
///
/// Answers the load pattern "more comes than engines can begin in time": what
/// can't be in time is refused at once and comes back late, instead of making
/// late all that comes after it.
class StreamAdmission {
 public:
  explicit StreamAdmission(StreamAdmissionOptions options = {})
      : options(options) {}

  /// @brief What an arriving stream may wait for.
  ArrivalPlan Plan(const StreamArrival& arrival) const;

  /// @brief When a refused stream should come back, milliseconds from now.
  /// @param[in] left_ms its caller waits this much longer
  /// @param[in] random spreads the returns
  std::int64_t ReturnAfterMs(std::int64_t left_ms, std::uint64_t random) const;

 private:
  StreamAdmissionOptions options;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_STREAM_ADMISSION_H_
