#ifndef MEADOWTHREAD_POLICY_LINK_QUALITY_H_
#define MEADOWTHREAD_POLICY_LINK_QUALITY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief Measures how often streams stall on the network path from each
/// availability zone.
/// Guards against packet loss on the links between two zones: each lost packet
/// stalls a stream until it is retransmitted, so that nearly every long stream
/// over such a link is late. While a path is degraded, engines in other zones
/// are preferred.
class LinkQuality {
 public:
  /// @param[in] zone this host's own zone. Its stall rate is the baseline,
  /// because stalls caused by engines affect streams of all zones alike.
  explicit LinkQuality(std::string_view zone) : own_zone(zone) {}

  /// @brief Records that a stream from an engine in `zone` stalled without
  /// being migrated.
  void NoteStall(std::string_view zone, std::int64_t now_ms);

  /// @brief Stalls per second and stream from the zone.
  /// @param[in] streams number of this host's streams from the zone
  double StallRate(std::string_view zone, int streams,
                   std::int64_t now_ms) const;

  /// @brief How much worse the path from a zone is than the path within this
  /// host's own zone, from 0 (not worse) to 1.
  /// @param[in] streams,own_streams numbers of this host's streams from the
  /// zone and from its own zone
  double Degradation(std::string_view zone, int streams, int own_streams,
                     std::int64_t now_ms) const;

 private:
  struct ZoneStalls {
    double decayed_count = 0.0;
    std::int64_t updated_ms = 0;
  };

  std::string own_zone;
  StringMap<ZoneStalls> zones;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_LINK_QUALITY_H_
