#ifndef MEADOWTHREAD_POLICY_LINK_QUALITY_H_
#define MEADOWTHREAD_POLICY_LINK_QUALITY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief How often streams stall on the way from each availability zone.
///
/// Answers the load pattern "the links between two zones lose packets": each
/// lost one makes a stream pause for a retransmission, and nearly every long
/// stream over such a link is late. Engines of other zones are used meanwhile.
class LinkQuality {
 public:
  /// @param[in] zone this host's own: its links are what others are held
  /// against, as engines stall streams of all zones alike
  explicit LinkQuality(std::string_view zone) : own_zone(zone) {}

  /// @brief A stream of an engine in `zone` paused without being moved.
  void NoteStall(std::string_view zone, std::int64_t now_ms);

  /// @brief Stalls a second for each of the streams that run from there.
  double StallRate(std::string_view zone, int streams,
                   std::int64_t now_ms) const;

  /// @brief How bad the way from a zone is, 0 to 1, beside the own zone's.
  /// @param[in] streams,own_streams of this host that run from there, and from
  /// its own zone
  double Badness(std::string_view zone, int streams, int own_streams,
                 std::int64_t now_ms) const;

 private:
  struct Stalls {
    double lately = 0.0;  ///< decaying
    std::int64_t noted_ms = 0;
  };

  std::string own_zone;
  StringMap<Stalls> zones;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_LINK_QUALITY_H_
