// Part of FleetState: the queries that choosers use.
#include <algorithm>

#include "policy/detail/fleet_state_helpers.h"
#include "policy/fleet_state.h"

namespace meadowthread {
namespace {

// A cached forecast is valid for this long, unless the work known on the engine
// changes.
constexpr std::int64_t kForecastCacheMs = 100;
constexpr double kMinSlowStartShare = 0.1;
// A stream of another host is assumed to have generated this fraction of the
// tokens that it holds; the rest is its prompt.
constexpr double kGeneratedFraction = 0.5;

}  // namespace

std::span<const EngineIndex> FleetState::Serving(const WorkItem& work) const {
  const auto found = this->by_model.find(
      detail::ModelKey(work.service, {work.model, work.adapter, work.version}));
  if (found == this->by_model.end()) {
    return {};
  }
  return found->second;
}

std::span<const EngineIndex> FleetState::EnginesWithPrefix(
    const WorkItem& work) const {
  return this->prefixes.EnginesOf(work.prefix_hash);
}

bool FleetState::IsPreferred(EngineIndex index) const {
  return this->engines[index]->preferred;
}

bool FleetState::Serves(EngineIndex index, const WorkItem& work) const {
  const EngineView& view = this->engines[index]->view;
  if (view.service != work.service) {
    return false;
  }
  const std::vector<ServedModel>& models = view.models;
  return std::any_of(
      models.begin(), models.end(), [&](const ServedModel& served) {
        const bool version =
            work.version.empty() || work.version == served.version;
        return version && work.model == served.model &&
               work.adapter == served.adapter;
      });
}

const EngineView& FleetState::View(EngineIndex index) const {
  return this->engines[index]->view;
}

std::optional<EngineIndex> FleetState::IndexOf(std::string_view engine) const {
  const auto found = this->by_name.find(engine);
  return found == this->by_name.end() ? std::nullopt
                                      : std::optional(found->second);
}

const EngineView* FleetState::Find(std::string_view engine) const {
  const std::optional<EngineIndex> index = this->IndexOf(engine);
  return index.has_value() ? &this->engines[*index]->view : nullptr;
}

double FleetState::RelativeTimeOf(std::string_view engine) const {
  const std::optional<EngineIndex> index = this->IndexOf(engine);
  return index.has_value() ? this->speeds.RelativeTime(*index) : 1.0;
}

MemoryForecast FleetState::Forecast(EngineIndex index,
                                    std::int64_t now_ms) const {
  const Engine& engine = *this->engines[index];
  const bool fresh = engine.forecast_cached_ms >= 0 &&
                     now_ms - engine.forecast_cached_ms < kForecastCacheMs;
  if (fresh) {
    return engine.forecast_cache;
  }
  MemoryForecast forecast;
  for (const auto& stream : engine.streams) {
    forecast.AddStream(stream->progress, *stream->curve);
  }
  this->AddOtherHostsWork(engine, now_ms, forecast);
  engine.forecast_cache = forecast;
  engine.forecast_cached_ms = now_ms;
  return forecast;
}

void FleetState::AddOtherHostsWork(const Engine& engine, std::int64_t now_ms,
                                   MemoryForecast& forecast) const {
  int unattributed = engine.others_running;
  std::int64_t unattributed_kv = engine.others_kv;
  for (const PeerLoad& peer : engine.peers) {
    if (!this->IsFresh(peer, now_ms)) {
      continue;
    }
    forecast.AddScaled(peer.forecast, 1.0F);
    unattributed -= peer.in_flight;
    unattributed_kv -= peer.kv_held;
  }
  if (unattributed <= 0 || unattributed_kv <= 0) {
    return;
  }
  // Streams that no peer reported. The load report gives only their number and
  // total tokens, so all of them are assumed to hold equally many.
  const std::int64_t tokens_each =
      unattributed_kv / unattributed +
      detail::EstimateDecodedTokens(now_ms - engine.view.reported_unix_ms);
  const auto generated = static_cast<std::int64_t>(
      static_cast<double>(tokens_each) * kGeneratedFraction);
  MemoryForecast one;
  one.AddStream({tokens_each - generated, generated, 0},
                *this->lengths.OverallCurve());
  forecast.AddScaled(one, static_cast<float>(unattributed));
}

std::int64_t FleetState::PrefillBacklog(EngineIndex index,
                                        std::int64_t now_ms) const {
  const Engine& engine = *this->engines[index];
  std::int64_t tokens = OwnPrefillTokens(engine);
  for (const PeerLoad& peer : engine.peers) {
    if (this->IsFresh(peer, now_ms)) {
      tokens += peer.reading;
    }
  }
  return tokens;
}

std::int64_t FleetState::PeerLoadAgeMs(EngineIndex index,
                                       std::int64_t now_ms) const {
  std::int64_t age_ms = -1;
  for (const PeerLoad& peer : this->engines[index]->peers) {
    if (this->IsFresh(peer, now_ms) && peer.in_flight > 0) {
      age_ms = std::max(age_ms, now_ms - peer.as_of_unix_ms);
    }
  }
  return age_ms;
}

std::vector<PeerLoad> FleetState::PeersAt(std::string_view engine,
                                          std::int64_t now_ms) const {
  std::vector<PeerLoad> peers;
  const auto found = this->by_name.find(engine);
  if (found == this->by_name.end()) {
    return peers;
  }
  for (const PeerLoad& peer : this->engines[found->second]->peers) {
    if (this->IsFresh(peer, now_ms) && peer.in_flight > 0) {
      peers.push_back(peer);
    }
  }
  return peers;
}

int FleetState::InFlight(EngineIndex index, std::int64_t now_ms) const {
  const Engine& engine = *this->engines[index];
  int peer_streams = 0;
  for (const PeerLoad& peer : engine.peers) {
    if (this->IsFresh(peer, now_ms)) {
      peer_streams += peer.in_flight;
    }
  }
  return engine.view.own_in_flight +
         std::max(peer_streams, engine.others_running);
}

double FleetState::SlowStartShare(EngineIndex index,
                                  std::int64_t now_ms) const {
  const EngineView& view = this->engines[index]->view;
  if (view.slow_start_began_ms == 0 || this->options.slow_start_ms == 0) {
    return 1.0;
  }
  const auto since = static_cast<double>(now_ms - view.slow_start_began_ms);
  const auto ramp_ms = static_cast<double>(this->options.slow_start_ms);
  return std::clamp(since / ramp_ms, kMinSlowStartShare, 1.0);
}

}  // namespace meadowthread
