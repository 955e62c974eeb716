#ifndef MEADOWTHREAD_SERVE_UNREPORTED_STREAM_ESTIMATOR_H_
#define MEADOWTHREAD_SERVE_UNREPORTED_STREAM_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>

namespace meadowthread {

/// @brief Estimates how many streams other hosts have begun that this host has
/// no load report of yet.
///
/// The chooser takes them into account, so that hosts do not all choose the
/// same engine before they hear of each other's choices.
class UnreportedStreamEstimator {
 public:
  /// @brief Interval at which EstimateUnreported is to be called.
  static constexpr std::int64_t kPeriodMs = 1'000;

  /// @param[in] note_bytes_per_s bandwidth limit of a host's load notes
  explicit UnreportedStreamEstimator(std::int64_t note_bytes_per_s)
      : note_bytes_per_s(note_bytes_per_s) {}

  /// @brief Estimates the number of streams that are not reported yet.
  /// @param[in] streams_begun streams that this host has begun since its start
  /// @param[in] peers number of hosts that load notes are sent to
  double EstimateUnreported(std::int64_t streams_begun, std::size_t peers);

 private:
  std::int64_t note_bytes_per_s;
  std::int64_t previous_streams_begun = 0;
  double recent_streams = 0.0;  ///< begun here; decays exponentially
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_UNREPORTED_STREAM_ESTIMATOR_H_
