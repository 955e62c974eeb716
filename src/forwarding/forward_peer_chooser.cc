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
// A path stays lost or sound for seconds, and hosts with few requests would
// otherwise ask with each of them.
constexpr std::int64_t kPathKnownMs = 10'000;
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
      this->clock.MonotonicMs() + kPathKnownMs;
  this->answered_until_ms.erase(peer);
}

void ForwardPeerChooser::NoteNotSent(std::string_view peer,
                                     std::string_view server) {
  this->Expire();
  this->unreached_until_ms[KeyOf(peer, server)] =
      this->clock.MonotonicMs() + kPathKnownMs;
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
  this->answered_until_ms[std::string(peer)] =
      this->clock.MonotonicMs() + kPathKnownMs;
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
  if (has_reached) {
    return Fitness::kReachedServer;
  }
  return this->IsNoted(this->answered_until_ms, peer.name) ? Fitness::kHasPath
                                                           : Fitness::kFit;
}

void ForwardPeerChooser::Candidates::Add(const ForwardPeer& peer,
                                         Fitness fitness) {
  if (fitness < this->best) {
    this->best = fitness;
    this->peers.clear();
  }
  if (fitness == this->best && fitness != Fitness::kUnfit) {
    this->peers.push_back(&peer);
  }
}

const ForwardPeer* ForwardPeerChooser::Choose(
    std::span<const ForwardPeer> peers, std::string_view server,
    std::span<const std::string> asked) {
  Candidates near;
  Candidates far;
  for (const ForwardPeer& peer : peers) {
    if (std::find(asked.begin(), asked.end(), peer.name) == asked.end()) {
      (peer.zone == this->zone ? near : far)
          .Add(peer, this->FitnessOf(peer, server));
    }
  }
  const bool is_near =
      std::bernoulli_distribution(this->NearProbability(peers))(this->random);
  return this->Draw(is_near ? Better(near, far) : Better(far, near));
}

// A host that has not been asked yet may turn out to have no path; one that has
// reached the server is worth the other zone.
const ForwardPeerChooser::Candidates& ForwardPeerChooser::Better(
    const Candidates& preferred, const Candidates& other) {
  switch (preferred.best) {
    case Fitness::kReachedServer:
    case Fitness::kHasPath:
      return preferred;
    case Fitness::kFit:
      return other.best == Fitness::kReachedServer ? other : preferred;
    case Fitness::kWithoutPath:
    case Fitness::kUnfit:
      return other.best < preferred.best ? other : preferred;
  }
  return preferred;
}

// Hosts that have not been asked are taken to be like those that were.
double ForwardPeerChooser::NearProbability(
    std::span<const ForwardPeer> peers) const {
  int pathless = 1;  // this host
  int fit = 1;
  int unknown = 0;
  for (const ForwardPeer& peer : peers) {
    if (peer.zone != this->zone) {
      continue;
    }
    if (this->IsNoted(this->pathless_until_ms, peer.name)) {
      ++pathless;
    } else if (this->IsNoted(this->answered_until_ms, peer.name)) {
      ++fit;
    } else {
      ++unknown;
    }
  }
  const double fit_share = static_cast<double>(fit) / (fit + pathless);
  const double all_fit = fit - 1 + fit_share * unknown;
  const double all_pathless = pathless + (1.0 - fit_share) * unknown;
  return std::min(1.0, kBorneByEach * all_fit / all_pathless);
}

const ForwardPeer* ForwardPeerChooser::Draw(const Candidates& candidates) {
  const std::vector<const ForwardPeer*>& among = candidates.peers;
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
