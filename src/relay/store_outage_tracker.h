#ifndef MEADOWTHREAD_RELAY_STORE_OUTAGE_TRACKER_H_
#define MEADOWTHREAD_RELAY_STORE_OUTAGE_TRACKER_H_

#include <cstdint>
#include <optional>

#include "relay/entry_grace_period.h"

namespace meadowthread {

/// @brief An interval in which the store answered without an outage, in
/// monotonic milliseconds.
struct StoreUptime {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// @brief Tracks how long the store has answered without an outage, and derives
/// from it whether a removed entry may have expired although its server is
/// live.
///
/// Handles the failure scenario "entries disappear shortly after a store
/// outage": the entries of live servers expire during the outage and are
/// registered again, while those of servers that left are not. Only an outage
/// of the store itself counts. A host that had a bad connection to the store,
/// or that does not read it, relies on the reports of the hosts that do.
class StoreOutageTracker final : public EntryGracePeriod {
 public:
  /// @brief Entries may expire once the store has not answered for this long.
  /// An entry expires three heartbeat intervals of 1.2 s after the server's
  /// last heartbeat. That heartbeat may have been sent one interval before the
  /// outage, and answers are noticed up to 0.3 s late, which leaves 2.1 s.
  static constexpr std::int64_t kOutageMs = 2'100;
  /// @brief Grace period after the end of an outage. Live servers register
  /// again within about two seconds; a server whose entry is still missing
  /// after this has left.
  static constexpr std::int64_t kReregistrationMs = 2'200;
  /// @brief Grace period when no host is known to have had an answer from the
  /// store recently. It is shorter than the time for which requests may be sent
  /// to a server that has left.
  static constexpr std::int64_t kUnconfirmedGraceMs = 1'500;

  /// @brief Records that the store answered a call of this host.
  void RecordAnswer(std::int64_t now_ms);

  /// @brief Records that the store has come back from an older copy: what it
  /// answered before does not show that its entries are whole.
  void RecordRestore(std::int64_t now_ms);

  /// @brief Records an interval in which the store answered another host.
  void RecordPeerUptime(const StoreUptime& uptime);

  /// @brief The latest interval in which the store answered this host's own
  /// calls without an outage; nullopt if it never did.
  const std::optional<StoreUptime>& Own() const { return this->own; }

  /// @brief See EntryGracePeriod; takes the intervals of all hosts into
  /// account. A further outage does not extend the grace period of an entry.
  std::int64_t GraceEndsMs(std::int64_t vanished_ms,
                           std::int64_t now_ms) const override;

 private:
  std::optional<StoreUptime> own;
  std::optional<StoreUptime> from_peers;
  std::int64_t restored_ms = 0;  ///< 0: not since the start
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_STORE_OUTAGE_TRACKER_H_
