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

/// @brief Availability zone and region of a host.
struct PeerLocation {
  std::string zone;
  std::string region;

  friend bool operator==(const PeerLocation&, const PeerLocation&) = default;
};

/// @brief One host of the host list.
struct PeerEntry {
  RpcPeer peer;
  PeerLocation place;
};

/// @brief Settings of peer selection and backoff.
struct PeerSettings {
  // Relative weights of the distances in the selection.
  double same_zone_weight = 0.6;
  double same_region_weight = 0.25;
  double other_region_weight = 0.15;
  int suspect_after_failures = 2;
  std::int64_t backoff_base_ms = 1000;
  std::int64_t backoff_max_ms = 10000;
  /// One selection in this many may go to a suspected peer.
  int choices_per_probe = 8;
};

/// @brief What is known about whether a peer is alive.
struct PeerLiveness {
  std::int64_t incarnation = 0;  ///< 0: no message from it yet
  int failures = 0;              ///< since the last success
  std::int64_t next_try_ms = 0;  ///< monotonic
};

/// @brief Number of peers by liveness.
struct PeerCounts {
  int alive = 0;
  int suspected = 0;
};

/// @brief Membership of the exchange: the host list tells which hosts exist,
/// calls tell which of them answer. Affects only speed, not correctness.
class PeerDirectory {
 public:
  /// @param[in] self this host's name; it is never chosen
  /// @param[in] clock outlives this
  PeerDirectory(std::string_view self, const PeerLocation& place,
                const PeerSettings& settings, std::uint64_t seed,
                const Clock& clock);

  /// @brief Replaces the host list; peers that remain keep their history.
  void SetHosts(std::span<const PeerEntry> hosts);

  /// @brief Chooses up to `count` different peers without a call in progress.
  std::vector<RpcPeer> Choose(int count);

  void OnCallStarted(std::string_view name);

  /// @brief The peer answered a call.
  /// @return whether it has restarted since its last message
  bool OnAnswered(std::string_view name, std::int64_t incarnation);

  /// @brief A call to the peer was not sent after all.
  void OnNotSent(std::string_view name);

  /// @brief A call to the peer failed.
  void OnFailed(std::string_view name);

  /// @brief The peer called. A message of an earlier incarnation is ignored, as
  /// it says nothing about the present one.
  /// @return whether it has restarted since its last message
  bool SetSenderListener(std::string_view name, std::int64_t incarnation);

  bool IsSuspected(std::string_view name) const;
  bool IsKnown(std::string_view name) const;
  /// @brief Whether the peer is in this host's region.
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
  PeerLocation place;
  PeerSettings settings;
  const Clock& clock;
  std::mt19937_64 random;
  std::map<std::string, Peer, std::less<>> peers;
  int choices_since_probe = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_PEER_DIRECTORY_H_
