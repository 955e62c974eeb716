// Part of FleetState: what is known about engines from other sources than their
// load reports, such as cache events, refused copies and the loads reported by
// peers.
#include <algorithm>
#include <utility>

#include "policy/fleet_state.h"

namespace meadowthread {
namespace {

// After refusing a KV-cache copy, an engine is avoided for this long. If it had
// no memory, it regains some when one of its runs ends; typically it has ten
// runs of about nine seconds each. If it is leaving, it has announced that by
// then.
constexpr std::int64_t kCopyRefusedMs = 400;

}  // namespace

void FleetState::NoteCached(std::string_view engine, std::uint64_t prefix,
                            bool stored) {
  const auto found = this->by_name.find(engine);
  if (found == this->by_name.end()) {
    return;
  }
  if (stored) {
    this->prefixes.NoteStored(prefix, found->second);
  } else {
    this->prefixes.NoteEvicted(prefix, found->second);
  }
}

void FleetState::MarkUnreachable(std::string_view engine,
                                 std::int64_t until_ms) {
  if (Engine* const found = this->FindEngine(engine)) {
    found->view.unreachable_until_ms = until_ms;
  }
}

void FleetState::NoteCopyRefused(std::string_view engine, std::int64_t now_ms) {
  if (Engine* const found = this->FindEngine(engine)) {
    found->view.no_room_until_ms = now_ms + kCopyRefusedMs;
  }
}

void FleetState::SetCopies(std::string_view engine, int copies) {
  if (Engine* const found = this->FindEngine(engine)) {
    found->copies = copies;
  }
}

bool FleetState::IsLinkBusy(EngineIndex index, std::int64_t now_ms) const {
  const Engine& engine = *this->engines[index];
  return engine.copies > 0 ||
         std::any_of(engine.peers.begin(), engine.peers.end(),
                     [this, now_ms](const PeerLoad& peer) {
                       return peer.copies > 0 && this->IsFresh(peer, now_ms);
                     });
}

void FleetState::NotePeerLoad(const PeerLoad& load, std::int64_t now_ms) {
  Engine* const engine = this->FindEngine(load.engine);
  if (engine == nullptr) {
    return;
  }
  std::erase_if(engine->peers, [&](const PeerLoad& known) {
    return !this->IsFresh(known, now_ms);
  });
  engine->forecast_cached_ms = -1;
  for (PeerLoad& known : engine->peers) {
    if (known.peer == load.peer) {
      if (known.as_of_unix_ms <= load.as_of_unix_ms) {
        known = load;
      }
      return;
    }
  }
  engine->peers.push_back(load);
}

void FleetState::ForgetPeerLoad(std::string_view engine,
                                std::string_view peer) {
  if (Engine* const found = this->FindEngine(engine)) {
    std::erase_if(found->peers,
                  [peer](const PeerLoad& known) { return known.peer == peer; });
    found->forecast_cached_ms = -1;
  }
}

bool FleetState::IsFresh(const PeerLoad& load, std::int64_t now_ms) const {
  return load.as_of_unix_ms + this->options.max_peer_age_ms >= now_ms;
}

std::vector<PeerLoad> FleetState::OwnLoad(std::string_view self,
                                          std::int64_t now_ms) {
  std::vector<PeerLoad> loads;
  for (const auto& engine : this->engines) {
    const bool busy = !engine->streams.empty();
    if (!busy && !engine->reported_to_peers) {
      continue;
    }
    engine->reported_to_peers = busy;
    loads.push_back(LoadOf(*engine, self, now_ms));
  }
  return loads;
}

PeerLoad FleetState::OwnLoadAt(std::string_view self, std::string_view engine,
                               std::int64_t now_ms) const {
  return LoadOf(*this->engines[this->by_name.find(engine)->second], self,
                now_ms);
}

PeerLoad FleetState::LoadOf(const Engine& engine, std::string_view self,
                            std::int64_t now_ms) {
  PeerLoad load;
  load.peer = std::string(self);
  load.engine = engine.view.engine;
  load.as_of_unix_ms = now_ms;
  load.in_flight = engine.view.own_in_flight;
  load.kv_held = engine.view.own_kv;
  load.reading = OwnPrefillTokens(engine);
  load.copies = engine.copies;
  for (const auto& stream : engine.streams) {
    load.forecast.AddStream(stream->progress, *stream->curve);
  }
  return load;
}

void FleetState::ReportFreed(const Engine& engine) const {
  if (this->capacity_freed) {
    this->capacity_freed(engine.view.engine);
  }
}

}  // namespace meadowthread
