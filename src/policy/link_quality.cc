#include "policy/link_quality.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

// Stalls are counted over about this time: links go bad for some seconds, and
// ten streams over one that loses 3% of its packets stall ten times in one.
constexpr double kWindowMs = 1'500.0;
constexpr double kMsPerSecond = 1'000.0;
// Stalls a second and stream that no good link shows, beyond the own zone's.
constexpr double kUsualRate = 0.1;
// So many more mean that nearly every long stream is late.
constexpr double kBadRate = 0.25;
// Zones known at once; a region has a few.
constexpr std::size_t kMostZones = 64;

}  // namespace

void LinkQuality::NoteStall(std::string_view zone, std::int64_t now_ms) {
  if (this->zones.size() >= kMostZones && !this->zones.contains(zone)) {
    this->zones.clear();
  }
  Stalls& stalls = this->zones[zone];
  const auto since = static_cast<double>(now_ms - stalls.noted_ms);
  stalls.lately = stalls.lately * std::exp(-since / kWindowMs) + 1.0;
  stalls.noted_ms = now_ms;
}

double LinkQuality::StallRate(std::string_view zone, int streams,
                              std::int64_t now_ms) const {
  const auto found = this->zones.find(zone);
  if (found == this->zones.end()) {
    return 0.0;
  }
  const auto since = static_cast<double>(now_ms - found->second.noted_ms);
  const double lately = found->second.lately * std::exp(-since / kWindowMs);
  return lately * kMsPerSecond / kWindowMs / std::max(1, streams);
}

double LinkQuality::Badness(std::string_view zone, int streams, int own_streams,
                            std::int64_t now_ms) const {
  if (zone == this->own_zone) {
    return 0.0;
  }
  const double beyond = this->StallRate(zone, streams, now_ms) -
                        this->StallRate(this->own_zone, own_streams, now_ms) -
                        kUsualRate;
  return std::clamp(beyond / kBadRate, 0.0, 1.0);
}

}  // namespace meadowthread
