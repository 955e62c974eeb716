#include "serve/unreported_stream_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace meadowthread {
namespace {

// Size on the network of one engine's load note to one peer, with headers.
constexpr double kNoteBytes = 90.0;
// Each stream changes its host's load three times: when it begins, at its first
// event and when it ends.
constexpr double kNotesPerStream = 3.0;
// Time from a load change to its arrival at a peer: one period of the send
// timer and the network latency.
constexpr double kNoteDelayMs = 30.0;
// Streams begin in bursts, so notes are assumed to be delayed as soon as their
// average rate exceeds a quarter of the bandwidth limit.
constexpr double kBurstFactor = 4.0;
constexpr double kRateWindowMs = 10'000.0;
constexpr double kMsPerSecond = 1'000.0;

}  // namespace

// Assumes that every peer begins streams at the same rate as this host. The
// streams that began within the delay of a load note are not reported yet. The
// delay is longer if the notes would exceed the bandwidth limit.
double UnreportedStreamEstimator::EstimateUnreported(std::int64_t streams_begun,
                                                     std::size_t peers) {
  const double decay =
      std::exp(-static_cast<double>(kPeriodMs) / kRateWindowMs);
  const auto begun = static_cast<double>(
      streams_begun -
      std::exchange(this->previous_streams_begun, streams_begun));
  this->recent_streams = this->recent_streams * decay + begun;
  const double per_ms = this->recent_streams / kRateWindowMs;
  const auto others = static_cast<double>(peers);
  const double bytes_per_ms = per_ms * kNotesPerStream * kNoteBytes * others;
  const double allowed_per_ms =
      static_cast<double>(this->note_bytes_per_s) / kMsPerSecond;
  const double delay_ms =
      kNoteDelayMs *
      std::max(1.0, kBurstFactor * bytes_per_ms / allowed_per_ms);
  return per_ms * others * delay_ms;
}

}  // namespace meadowthread
