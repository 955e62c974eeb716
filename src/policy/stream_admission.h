#ifndef MEADOWTHREAD_POLICY_STREAM_ADMISSION_H_
#define MEADOWTHREAD_POLICY_STREAM_ADMISSION_H_

#include <cstdint>

namespace meadowthread {

/// @brief What is known about an arriving stream.
struct StreamArrival {
  std::int64_t target_ms = 0;   ///< latency target of the first event; 0: none
  std::int64_t elapsed_ms = 0;  ///< time since its caller's first attempt
  std::int64_t left_ms = 0;     ///< how long its caller still waits
};

/// @brief How to treat an arriving stream.
struct StreamAdmissionPlan {
  /// Send the stream only to an engine from which the first event is expected
  /// within this time; 0: to any engine with room.
  std::int64_t first_event_within_ms = 0;
  /// How long the stream waits for such an engine before it is refused; 0: it
  /// is refused at once.
  std::int64_t may_wait_ms = 0;
  bool is_late = false;  ///< it can no longer meet its target
  /// How long the stream waits before it is refused because of a single run of
  /// another host, whose news that the run is over may be on its way.
  std::int64_t peer_news_ms = 0;
};

/// @brief Options of StreamAdmission.
struct StreamAdmissionOptions {
  /// Refuse streams that are not expected to meet their target. If false, only
  /// memory limits admission.
  bool refuses_late = true;
  /// Let streams that can no longer meet their target, usually because they
  /// were refused before, wait for room. If false, they are refused like
  /// others.
  bool lets_returned_wait = true;
  /// Spread the retries of refused streams over the longest Retry-After time
  /// that callers honor. If false, all are retried after the same short time.
  bool spreads_returns = true;
};

/// @brief Decides how long a stream may wait for an engine and when a refused
/// one should be retried.
///
/// Guards against overload, when more streams arrive than engines can start in
/// time: a stream that cannot meet its target is refused at once and retried
/// later, instead of delaying all that arrive after it.
class StreamAdmission {
 public:
  explicit StreamAdmission(StreamAdmissionOptions options = {})
      : options(options) {}

  /// @brief Plans the admission of an arriving stream.
  StreamAdmissionPlan Plan(const StreamArrival& arrival) const;

  /// @brief The Retry-After time of a refused stream, in milliseconds.
  /// @param[in] left_ms how long its caller still waits
  /// @param[in] random spreads the retries
  std::int64_t ReturnAfterMs(std::int64_t left_ms, std::uint64_t random) const;

 private:
  StreamAdmissionOptions options;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_STREAM_ADMISSION_H_
