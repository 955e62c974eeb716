#ifndef MEADOWTHREAD_SERVE_STORE_STALL_DETECTOR_H_
#define MEADOWTHREAD_SERVE_STORE_STALL_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "exchange/datagrams.h"

namespace meadowthread {

/// @brief Detects when the store cannot currently report changes of the
/// engines, and tracks which hosts cannot read the store.
///
/// Handles the load pattern "engines leave during a store outage". Engines stay
/// for only two seconds after they announce that they leave, and a host's own
/// watch may take more than one of these seconds to fail. So the first host
/// whose watch fails notifies the others.
class StoreStallDetector {
 public:
  /// @param[in] hub,clock outlive this
  StoreStallDetector(DatagramHub& hub, const Clock& clock);
  StoreStallDetector(const StoreStallDetector&) = delete;
  StoreStallDetector& operator=(const StoreStallDetector&) = delete;

  /// @brief Records whether this host's own watch fails, and notifies peers; to
  /// be called often.
  void RecordOwn(bool is_stalled);

  /// @brief Records another host's notification about its watch, which it sends
  /// at each change and repeats while the watch fails.
  void RecordPeer(std::string_view host, bool is_stalled);

  /// @brief Whether another host has notified that its watch fails.
  bool IsStalledFor(std::string_view host) const;

  /// @brief Whether the view of the engines may miss recent changes.
  /// @param[in] confirmed_unix_ms time up to which the view of the engines is
  /// known to be complete, whichever host read it
  bool IsStalled(std::int64_t confirmed_unix_ms) const;

 private:
  DatagramHub& hub;
  const Clock& clock;
  bool is_stalled = false;
  std::int64_t sent_ms = 0;  ///< latest notification by this host, monotonic
  std::int64_t peer_stalled_unix_ms = 0;
  /// Latest notification of each host whose watch fails, monotonic.
  std::map<std::string, std::int64_t, std::less<>> stalled_peers;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_STORE_STALL_DETECTOR_H_
