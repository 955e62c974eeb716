#include "serve/choice_spread.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace meadowthread {
namespace {

// A note of one engine's load on its way to one peer, headers included.
constexpr double kNoteBytes = 90.0;
// Changes of a host's load for each of its streams: begun, first event, ended.
constexpr double kNotesPerStream = 3.0;
// Until a change is told at all: a step of the notes' timer and the way.
constexpr double kNoteDelayMs = 30.0;
// Streams begin in bursts, so notes are taken to wait from a quarter of the
// bound of bytes on. A guess: only the whole of the spreading was measured.
constexpr double kNotesBoundFactor = 4.0;
constexpr double kRateWindowMs = 10'000.0;
constexpr double kMsPerSecond = 1'000.0;

}  // namespace

// The others' rate is taken to be this host's, over the time that a note takes.
// Where notes would pass the bound of bytes, they wait for it.
double ChoiceSpread::Unseen(std::int64_t streams_begun, std::size_t peers) {
  const double decay =
      std::exp(-static_cast<double>(kPeriodMs) / kRateWindowMs);
  const auto begun = static_cast<double>(
      streams_begun - std::exchange(this->streams_counted, streams_begun));
  this->streams_lately = this->streams_lately * decay + begun;
  const double per_ms = this->streams_lately / kRateWindowMs;
  const auto others = static_cast<double>(peers);
  const double bytes_per_ms = per_ms * kNotesPerStream * kNoteBytes * others;
  const double allowed_per_ms =
      static_cast<double>(this->note_bytes_per_s) / kMsPerSecond;
  const double delay_ms =
      kNoteDelayMs *
      std::max(1.0, kNotesBoundFactor * bytes_per_ms / allowed_per_ms);
  return per_ms * others * delay_ms;
}

}  // namespace meadowthread
