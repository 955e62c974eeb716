#ifndef MEADOWTHREAD_FORWARDING_FORWARD_PEER_CHOOSER_H_
#define MEADOWTHREAD_FORWARDING_FORWARD_PEER_CHOOSER_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "forwarding/forward_protocol.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief Chooses the host that is asked to send an attempt to a server.
///
/// The zone comes first: this host's own, but not more often than its fit hosts
/// can bear. Where most hosts of the zone have lost their paths, the others of
/// the zone would have to send for all of them. Of a zone's hosts, those that
/// reached the server before are asked first, then those that reached any, then
/// those that were not asked of late. Of two hosts drawn at random among these,
/// the one with fewer attempts of this host is chosen.
class ForwardPeerChooser {
 public:
  /// @param[in] zone this host's availability zone
  /// @param[in] clock,random outlive this
  ForwardPeerChooser(std::string_view zone, const Clock& clock,
                     std::mt19937_64& random)
      : zone(zone), clock(clock), random(random) {}
  ForwardPeerChooser(const ForwardPeerChooser&) = delete;
  ForwardPeerChooser& operator=(const ForwardPeerChooser&) = delete;

  /// @param[in] asked names of the hosts that this attempt has asked
  /// @return null if there is no further host to ask; valid as long as `peers`
  /// @complexity O(peers x asked)
  const ForwardPeer* Choose(std::span<const ForwardPeer> peers,
                            std::string_view server,
                            std::span<const std::string> asked);

  /// @brief An attempt was sent to a host, or has ended there.
  void NoteStarted(std::string_view peer) {
    ++this->running[std::string(peer)];
  }
  void NoteEnded(std::string_view peer);

  /// @brief A host could not be reached.
  void NoteUnreachable(std::string_view peer);

  /// @brief A host did not take the attempt.
  void NoteRefused(std::string_view peer, std::string_view server,
                   ForwardRefusal why);

  /// @brief A host could not reach the server.
  void NoteNotSent(std::string_view peer, std::string_view server);

  /// @brief A host has passed on the server's answer.
  void NoteAnswered(std::string_view peer, std::string_view server);

  /// @brief A host's path to all servers is lost, as it has said.
  void NotePathLost(std::string_view peer);

 private:
  /// How suitable a host is; better ones first.
  enum class Fitness { kReachedServer, kHasPath, kFit, kWithoutPath, kUnfit };

  /// The most suitable hosts of some.
  struct Candidates {
    void Add(const ForwardPeer& peer, Fitness fitness);

    Fitness best = Fitness::kUnfit;
    std::vector<const ForwardPeer*> peers;
  };

  Fitness FitnessOf(const ForwardPeer& peer, std::string_view server) const;
  bool IsNoted(const StringMap<std::int64_t>& until_ms,
               std::string_view key) const;
  double NearProbability(std::span<const ForwardPeer> peers) const;
  static const Candidates& Better(const Candidates& preferred,
                                  const Candidates& other);
  const ForwardPeer* Draw(const Candidates& candidates);
  void Expire();

  std::string zone;
  const Clock& clock;
  std::mt19937_64& random;
  StringMap<int> running;                      ///< attempts, by host
  StringMap<std::int64_t> unfit_until_ms;      ///< by host
  StringMap<std::int64_t> pathless_until_ms;   ///< by host
  StringMap<std::int64_t> answered_until_ms;   ///< by host
  StringMap<std::int64_t> unreached_until_ms;  ///< by host and server
  StringMap<std::string> reached_by;           ///< host, by server
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_FORWARDING_FORWARD_PEER_CHOOSER_H_
