#include "policy/link_quality.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

// Time constant of the decaying count of stalls. It is short because links
// degrade for a few seconds at a time, and it is enough because ten streams
// over a link that loses 3% of its packets stall about ten times in one second.
constexpr double kWindowMs = 1'500.0;
constexpr double kMsPerSecond = 1'000.0;
// Stalls per second and stream, in excess of the rate in the host's own
// zone, that a good link stays below.
constexpr double kNormalStallRate = 0.1;
// Stalls per second and stream, in excess of both the own zone's rate and
// kNormalStallRate, at which a link counts as fully degraded: nearly every long
// stream over it is late.
constexpr double kDegradedStallRate = 0.25;
// Limit on the zones remembered; a region has only a few.
constexpr std::size_t kMaxZones = 64;

}  // namespace

void LinkQuality::NoteStall(std::string_view zone, std::int64_t now_ms) {
  if (this->zones.size() >= kMaxZones && !this->zones.contains(zone)) {
    this->zones.clear();
  }
  ZoneStalls& stalls = this->zones[zone];
  const auto since = static_cast<double>(now_ms - stalls.updated_ms);
  stalls.decayed_count =
      stalls.decayed_count * std::exp(-since / kWindowMs) + 1.0;
  stalls.updated_ms = now_ms;
}

double LinkQuality::StallRate(std::string_view zone, int streams,
                              std::int64_t now_ms) const {
  const auto found = this->zones.find(zone);
  if (found == this->zones.end()) {
    return 0.0;
  }
  const auto since = static_cast<double>(now_ms - found->second.updated_ms);
  const double decayed_count =
      found->second.decayed_count * std::exp(-since / kWindowMs);
  return decayed_count * kMsPerSecond / kWindowMs / std::max(1, streams);
}

double LinkQuality::Degradation(std::string_view zone, int streams,
                                int own_streams, std::int64_t now_ms) const {
  if (zone == this->own_zone) {
    return 0.0;
  }
  const double excess = this->StallRate(zone, streams, now_ms) -
                        this->StallRate(this->own_zone, own_streams, now_ms) -
                        kNormalStallRate;
  return std::clamp(excess / kDegradedStallRate, 0.0, 1.0);
}

}  // namespace meadowthread
