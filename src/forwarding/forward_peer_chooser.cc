#include "forwarding/forward_peer_chooser.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "base/absl_view.h"

namespace meadowthread {
namespace {

// A host that could not be reached, or that does not know this one's orders, is
// not asked again for this long.
constexpr std::int64_t kUnreachableMs = 2'000;
// Nor is one that is full.
constexpr std::int64_t kFullMs = 500;
// A host without a path keeps it lost for seconds, and hosts with few requests
// would otherwise ask it with each of them.
constexpr std::int64_t kPathlessMs = 10'000;
// How many hosts without a path each fit host of the zone sends for, before
// hosts of other zones share the load.
constexpr double kBorneByEach = 2.0;
constexpr std::size_t kMaxNotes = 4'096;

std::string KeyOf(std::string_view peer, std::string_view server) {
  return absl::StrCat(AbslView(peer), " ", AbslView(server));
}

}  // namespace

////////////
// Evidence
////////////

void ForwardPeerChooser::NoteEnded(std::string_view peer) {
  const auto found = this->running.find(peer);
  if (found != this->running.end() && --found->second <= 0) {
    this->running.erase(found);
  }
}

void ForwardPeerChooser::NoteUnreachable(std::string_view peer) {
  this->unfit_until_ms[std::string(peer)] =
      this->clock.MonotonicMs() + kUnreachableMs;
}

void ForwardPeerChooser::NoteRefused(std::string_view peer,
                                     std::string_view server,
                                     ForwardRefusal why) {
  switch (why) {
    case ForwardRefusal::kPathLost:
      this->NotePathLost(peer);
      return;
    case ForwardRefusal::kServerUnreachable:
      this->NoteNotSent(peer, server);
      return;
    case ForwardRefusal::kFull:
      this->unfit_until_ms[std::string(peer)] =
          this->clock.MonotonicMs() + kFullMs;
      return;
    case ForwardRefusal::kOther:
      this->NoteUnreachable(peer);
      return;
  }
}

void ForwardPeerChooser::NotePathLost(std::string_view peer) {
  this->pathless_until_ms[std::string(peer)] =
      this->clock.MonotonicMs() + kPathlessMs;
}

void ForwardPeerChooser::NoteNotSent(std::string_view peer,
                                     std::string_view server) {
  this->Expire();
  this->unreached_until_ms[KeyOf(peer, server)] =
      this->clock.MonotonicMs() + kPathlessMs;
  const auto found = this->reached_by.find(server);
  if (found != this->reached_by.end() && found->second == peer) {
    this->reached_by.erase(found);
  }
}

void ForwardPeerChooser::NoteAnswered(std::string_view peer,
                                      std::string_view server) {
  this->Expire();
  this->reached_by[std::string(server)] = std::string(peer);
  this->pathless_until_ms.erase(peer);
  this->unreached_until_ms.erase(KeyOf(peer, server));
}

// Bounds what is remembered of hosts and servers that are gone.
void ForwardPeerChooser::Expire() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (this->unreached_until_ms.size() >= kMaxNotes) {
    absl::erase_if(this->unreached_until_ms, [now_ms](const auto& entry) {
      return entry.second <= now_ms;
    });
  }
  if (this->reached_by.size() >= kMaxNotes) {
    this->reached_by.clear();
  }
}

//////////
// Choice
//////////

bool ForwardPeerChooser::IsNoted(const StringMap<std::int64_t>& until_ms,
                                 std::string_view key) const {
  const auto found = until_ms.find(key);
  return found != until_ms.end() && found->second > this->clock.MonotonicMs();
}

ForwardPeerChooser::Fitness ForwardPeerChooser::FitnessOf(
    const ForwardPeer& peer, std::string_view server) const {
  if (this->IsNoted(this->unfit_until_ms, peer.name)) {
    return Fitness::kUnfit;
  }
  if (this->IsNoted(this->pathless_until_ms, peer.name) ||
      this->IsNoted(this->unreached_until_ms, KeyOf(peer.name, server))) {
    return Fitness::kWithoutPath;
  }
  const auto reached = this->reached_by.find(server);
  const bool has_reached =
      reached != this->reached_by.end() && reached->second == peer.name;
  return has_reached ? Fitness::kReachedServer : Fitness::kFit;
}

const ForwardPeer* ForwardPeerChooser::Choose(
    std::span<const ForwardPeer> peers, std::string_view server,
    std::span<const std::string> asked) {
  Fitness best = Fitness::kUnfit;
  std::vector<const ForwardPeer*> near;
  std::vector<const ForwardPeer*> far;
  for (const ForwardPeer& peer : peers) {
    const Fitness fitness = this->FitnessOf(peer, server);
    const bool was_asked =
        std::find(asked.begin(), asked.end(), peer.name) != asked.end();
    if (was_asked || fitness == Fitness::kUnfit || fitness > best) {
      continue;
    }
    if (fitness < best) {
      best = fitness;
      near.clear();
      far.clear();
    }
    (peer.zone == this->zone ? near : far).push_back(&peer);
  }
  if (near.empty() || far.empty()) {
    return this->Draw(near.empty() ? far : near);
  }
  const bool is_near =
      std::bernoulli_distribution(this->NearProbability(peers))(this->random);
  return this->Draw(is_near ? near : far);
}

double ForwardPeerChooser::NearProbability(
    std::span<const ForwardPeer> peers) const {
  int pathless = 1;  // this host
  int fit = 0;
  for (const ForwardPeer& peer : peers) {
    if (peer.zone == this->zone) {
      const bool is_pathless =
          this->IsNoted(this->pathless_until_ms, peer.name);
      ++(is_pathless ? pathless : fit);
    }
  }
  return std::min(1.0, kBorneByEach * fit / pathless);
}

const ForwardPeer* ForwardPeerChooser::Draw(
    std::span<const ForwardPeer* const> among) {
  if (among.empty()) {
    return nullptr;
  }
  const auto load = [this](const ForwardPeer* peer) {
    const auto found = this->running.find(peer->name);
    return found == this->running.end() ? 0 : found->second;
  };
  const ForwardPeer* const one = among[this->random() % among.size()];
  const ForwardPeer* const other = among[this->random() % among.size()];
  return load(other) < load(one) ? other : one;
}

}  // namespace meadowthread
