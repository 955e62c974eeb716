#ifndef MEADOWTHREAD_EXCHANGE_PEER_DIRECTORY_H_
#define MEADOWTHREAD_EXCHANGE_PEER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "exchange/rpc_channel.h"

namespace meadowthread {

/// @brief Where a host stands.
struct HostPlace {
  std::string zone;
  std::string region;

  friend bool operator==(const HostPlace&, const HostPlace&) = default;
};

/// @brief One entry host of the host list.
struct PeerEntry {
  RpcPeer peer;
  HostPlace place;
};

/// @brief How partners are chosen and failures dealt with.
struct PeerSettings {
  // Shares of the choices that go to each distance, relative to each other.
  double same_zone_weight = 0.6;
  double same_region_weight = 0.25;
  double other_region_weight = 0.15;
  int suspect_after_failures = 2;
  std::int64_t backoff_base_ms = 1000;
  std::int64_t backoff_max_ms = 10000;
  /// One choice in this many may go to a suspected peer.
  int choices_per_probe = 8;
};

/// @brief What is known of a peer's liveness.
struct PeerLiveness {
  std::int64_t incarnation = 0;  ///< 0: never heard of
  int failures = 0;              ///< since the last success
  std::int64_t next_try_ms = 0;  ///< monotonic
};

/// @brief Counts of peers.
struct PeerCounts {
  int alive = 0;
  int suspected = 0;
};

/// @brief The other entry hosts: the host list says who is there, calls find
/// out who answers. Serves speed only.
class PeerDirectory {
 public:
  /// @param[in] self this host's name; it is never its own partner
  /// @param[in] clock outlives this
  PeerDirectory(std::string_view self, const HostPlace& place,
                const PeerSettings& settings, std::uint64_t seed,
                const Clock& clock);

  /// @brief Takes the host list; peers that stay keep their history.
  void SetHosts(std::span<const PeerEntry> hosts);

  /// @brief Up to `count` partners, none twice, none with a call in progress.
  std::vector<RpcPeer> Choose(int count);

  void OnCallStarted(std::string_view name);

  /// @brief The peer answered a call.
  /// @return whether it restarted since it was last heard of
  bool OnAnswered(std::string_view name, std::int64_t incarnation);

  /// @brief A call to the peer wasn't made after all.
  void OnNotSent(std::string_view name);

  /// @brief A call to the peer failed.
  void OnFailed(std::string_view name);

  /// @brief The peer called. A message of an earlier incarnation tells nothing
  /// about the present one.
  /// @return whether it restarted since it was last heard of
  bool OnHeard(std::string_view name, std::int64_t incarnation);

  bool IsSuspected(std::string_view name) const;
  bool IsKnown(std::string_view name) const;
  /// @brief Whether the peer stands in this host's region.
  bool IsInRegion(std::string_view name) const;
  PeerCounts Counts() const;

 private:
  struct Peer {
    PeerEntry entry;
    PeerLiveness liveness;
    int calls = 0;  ///< in progress
  };
  enum class Distance { kSameZone, kSameRegion, kOtherRegion };
  using Candidates = std::vector<const Peer*>;

  bool IsSuspected(const Peer& peer) const;
  bool Recover(Peer* peer, std::int64_t incarnation);
  Distance DistanceOf(const Peer& peer) const;
  Candidates Find(bool suspected, bool due_only) const;
  const Peer* Draw(Candidates* candidates);

  std::string self;
  HostPlace place;
  PeerSettings settings;
  const Clock& clock;
  std::mt19937_64 random;
  std::map<std::string, Peer, std::less<>> peers;
  int choices_since_probe = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_PEER_DIRECTORY_H_
