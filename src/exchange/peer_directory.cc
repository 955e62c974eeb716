#include "exchange/peer_directory.h"

#include <algorithm>
#include <array>

namespace meadowthread {
namespace {

constexpr int kMaxBackoffDoublings = 16;
constexpr double kMinBackoffShare = 0.5;

}  // namespace

PeerDirectory::PeerDirectory(std::string_view self_name,
                             const PeerLocation& self_place,
                             const PeerSettings& peer_settings,
                             std::uint64_t seed, const Clock& peer_clock)
    : self(self_name),
      place(self_place),
      settings(peer_settings),
      clock(peer_clock),
      random(seed) {}

void PeerDirectory::SetHosts(std::span<const PeerEntry> hosts) {
  std::map<std::string, Peer, std::less<>> next;
  for (const PeerEntry& entry : hosts) {
    if (entry.peer.name == this->self) {
      continue;
    }
    const auto known = this->peers.find(entry.peer.name);
    Peer peer = known == this->peers.end() ? Peer{} : known->second;
    if (!(peer.entry.peer == entry.peer)) {
      // The history belongs to the old address.
      peer.liveness = PeerLiveness{};
    }
    peer.entry = entry;
    next.insert_or_assign(entry.peer.name, std::move(peer));
  }
  this->peers = std::move(next);
}

std::vector<RpcPeer> PeerDirectory::Choose(int count) {
  std::vector<RpcPeer> partners;
  const auto take = [&partners, this](Candidates* from) {
    const Peer* const peer = this->Draw(from);
    if (peer != nullptr) {
      partners.push_back(peer->entry.peer);
    }
    return peer != nullptr;
  };
  this->choices_since_probe += count;
  if (this->choices_since_probe >= this->settings.choices_per_probe) {
    this->choices_since_probe = 0;
    Candidates due = this->Find(/*suspected=*/true, /*due_only=*/true);
    take(&due);
  }
  Candidates alive = this->Find(/*suspected=*/false, /*due_only=*/true);
  while (std::ssize(partners) < count && take(&alive)) {
  }
  // Too few peers answer: this host was cut off or has just been resumed. The
  // calls have no better use, and calling suspects finds out soon when they
  // answer again.
  Candidates suspects = this->Find(/*suspected=*/true, /*due_only=*/false);
  while (std::ssize(partners) < count && take(&suspects)) {
  }
  return partners;
}

void PeerDirectory::OnCallStarted(std::string_view name) {
  const auto found = this->peers.find(name);
  if (found != this->peers.end()) {
    ++found->second.calls;
  }
}

bool PeerDirectory::OnAnswered(std::string_view name,
                               std::int64_t incarnation) {
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) {
    return false;
  }
  Peer& peer = found->second;
  peer.calls = std::max(0, peer.calls - 1);
  peer.liveness.failures = 0;
  return this->Recover(&peer, incarnation);
}

void PeerDirectory::OnNotSent(std::string_view name) {
  const auto found = this->peers.find(name);
  if (found != this->peers.end()) {
    found->second.calls = std::max(0, found->second.calls - 1);
  }
}

void PeerDirectory::OnFailed(std::string_view name) {
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.calls = std::max(0, peer.calls - 1);
  const int doublings = std::min(peer.liveness.failures, kMaxBackoffDoublings);
  ++peer.liveness.failures;
  const std::int64_t backoff_ms =
      std::min(this->settings.backoff_max_ms,
               this->settings.backoff_base_ms << doublings);
  std::uniform_real_distribution<double> share(kMinBackoffShare, 1.0);
  peer.liveness.next_try_ms =
      this->clock.MonotonicMs() +
      static_cast<std::int64_t>(static_cast<double>(backoff_ms) *
                                share(this->random));
}

bool PeerDirectory::SetSenderListener(std::string_view name,
                                      std::int64_t incarnation) {
  const auto found = this->peers.find(name);
  if (found == this->peers.end() ||
      incarnation < found->second.liveness.incarnation) {
    return false;
  }
  // Calls from the peer arrive. Whether calls to it do is not known: one more
  // failure makes it suspected again.
  PeerLiveness& liveness = found->second.liveness;
  liveness.failures =
      std::min(liveness.failures, this->settings.suspect_after_failures - 1);
  return this->Recover(&found->second, incarnation);
}

bool PeerDirectory::IsSuspected(std::string_view name) const {
  const auto found = this->peers.find(name);
  return found != this->peers.end() && this->IsSuspected(found->second);
}

bool PeerDirectory::IsKnown(std::string_view name) const {
  return this->peers.contains(name);
}

bool PeerDirectory::IsInRegion(std::string_view name) const {
  const auto found = this->peers.find(name);
  return found != this->peers.end() &&
         found->second.entry.place.region == this->place.region;
}

PeerCounts PeerDirectory::Counts() const {
  PeerCounts counts;
  for (const auto& [name, peer] : this->peers) {
    ++(this->IsSuspected(peer) ? counts.suspected : counts.alive);
  }
  return counts;
}

bool PeerDirectory::IsSuspected(const Peer& peer) const {
  return peer.liveness.failures >= this->settings.suspect_after_failures;
}

bool PeerDirectory::Recover(Peer* peer, std::int64_t incarnation) {
  PeerLiveness& liveness = peer->liveness;
  const bool restarted =
      liveness.incarnation != 0 && liveness.incarnation != incarnation;
  liveness.incarnation = incarnation;
  liveness.next_try_ms = 0;
  return restarted;
}

PeerDirectory::Candidates PeerDirectory::Find(bool suspected,
                                              bool due_only) const {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  Candidates found;
  for (const auto& [name, peer] : this->peers) {
    const bool is_due = !due_only || peer.liveness.next_try_ms <= now_ms;
    if (peer.calls == 0 && is_due && this->IsSuspected(peer) == suspected) {
      found.push_back(&peer);
    }
  }
  return found;
}

PeerDirectory::Distance PeerDirectory::DistanceOf(const Peer& peer) const {
  if (peer.entry.place == this->place) {
    return Distance::kSameZone;
  }
  return peer.entry.place.region == this->place.region ? Distance::kSameRegion
                                                       : Distance::kOtherRegion;
}

// Draws a distance first, then a peer at this distance, so that distant peers
// get only the share of their distance however many they are.
const PeerDirectory::Peer* PeerDirectory::Draw(Candidates* candidates) {
  std::array<double, 3> weights = {0, 0, 0};
  const std::array<double, 3> shares = {this->settings.same_zone_weight,
                                        this->settings.same_region_weight,
                                        this->settings.other_region_weight};
  for (const Peer* peer : *candidates) {
    const auto distance = static_cast<std::size_t>(this->DistanceOf(*peer));
    weights.at(distance) = shares.at(distance);
  }
  std::discrete_distribution<int> draw_distance(weights.begin(), weights.end());
  const auto drawn = static_cast<Distance>(draw_distance(this->random));
  const auto end = std::partition(
      candidates->begin(), candidates->end(),
      [&](const Peer* peer) { return this->DistanceOf(*peer) == drawn; });
  if (end == candidates->begin()) {
    return nullptr;
  }
  std::uniform_int_distribution<std::ptrdiff_t> draw_peer(
      0, end - candidates->begin() - 1);
  const auto chosen = candidates->begin() + draw_peer(this->random);
  const Peer* const peer = *chosen;
  candidates->erase(chosen);
  return peer;
}

}  // namespace meadowthread
