// What choosers ask of the fleet's state.
#include <algorithm>

#include "policy/detail/fleet_keys.h"
#include "policy/fleet_state.h"

namespace meadowthread {
namespace {

// A forecast is good for this long unless own work on the engine changes.
constexpr std::int64_t kForecastAgeMs = 100;
constexpr double kSlowStartFloor = 0.1;
// Of the tokens another host's stream holds, about this part is generated.
constexpr double kGeneratedPart = 0.5;

}  // namespace

std::span<const EngineIndex> FleetState::Serving(const WorkItem& work) const {
  const auto found = this->by_model.find(
      detail::ModelKey(work.model, work.adapter, work.version));
  if (found == this->by_model.end()) {
    return {};
  }
  return found->second;
}

std::span<const EngineIndex> FleetState::PrefixEngines(
    const WorkItem& work) const {
  return this->prefixes.EnginesOf(work.prefix_hash);
}

bool FleetState::Preferred(EngineIndex index) const {
  return this->engines[index]->preferred;
}

bool FleetState::Serves(EngineIndex index, const WorkItem& work) const {
  const std::vector<ServedModel>& models = this->engines[index]->view.models;
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

const EngineView* FleetState::Find(std::string_view engine) const {
  const auto found = this->by_name.find(engine);
  if (found == this->by_name.end()) {
    return nullptr;
  }
  return &this->engines[found->second]->view;
}

MemoryForecast FleetState::Forecast(EngineIndex index,
                                    std::int64_t now_ms) const {
  const Engine& engine = *this->engines[index];
  const bool fresh =
      engine.cached_ms >= 0 && now_ms - engine.cached_ms < kForecastAgeMs;
  if (fresh) {
    return engine.cached;
  }
  MemoryForecast forecast;
  for (const auto& stream : engine.streams) {
    forecast.AddStream(stream->outlook, *stream->curve);
  }
  this->AddOthers(engine, now_ms, forecast);
  engine.cached = forecast;
  engine.cached_ms = now_ms;
  return forecast;
}

void FleetState::AddOthers(const Engine& engine, std::int64_t now_ms,
                           MemoryForecast& forecast) const {
  int unexplained = engine.others_running;
  std::int64_t unexplained_kv = engine.others_kv;
  for (const PeerLoad& peer : engine.peers) {
    if (!this->IsFresh(peer, now_ms)) {
      continue;
    }
    forecast.AddScaled(peer.forecast, 1.0F);
    unexplained -= peer.in_flight;
    unexplained_kv -= peer.kv_held;
  }
  if (unexplained <= 0 || unexplained_kv <= 0) {
    return;
  }
  // Streams that nobody told of: all alike, as long as the report implies.
  const std::int64_t each =
      unexplained_kv / unexplained +
      detail::TokensIn(now_ms - engine.view.reported_unix_ms);
  const auto generated =
      static_cast<std::int64_t>(static_cast<double>(each) * kGeneratedPart);
  MemoryForecast one;
  one.AddStream({each - generated, generated, 0},
                *this->lengths.OverallCurve());
  forecast.AddScaled(one, static_cast<float>(unexplained));
}

std::int64_t FleetState::ReadingTokens(EngineIndex index,
                                       std::int64_t now_ms) const {
  const Engine& engine = *this->engines[index];
  std::int64_t tokens = OwnReading(engine);
  for (const PeerLoad& peer : engine.peers) {
    if (this->IsFresh(peer, now_ms)) {
      tokens += peer.reading;
    }
  }
  return tokens;
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
  int told = 0;
  for (const PeerLoad& peer : engine.peers) {
    if (this->IsFresh(peer, now_ms)) {
      told += peer.in_flight;
    }
  }
  return engine.view.own_in_flight + std::max(told, engine.others_running);
}

double FleetState::ServiceShare(EngineIndex index, std::int64_t now_ms) const {
  const EngineView& view = this->engines[index]->view;
  if (view.slow_start_since == 0 || this->options.slow_start_ms == 0) {
    return 1.0;
  }
  const auto since = static_cast<double>(now_ms - view.slow_start_since);
  const auto whole = static_cast<double>(this->options.slow_start_ms);
  return std::clamp(since / whole, kSlowStartFloor, 1.0);
}

}  // namespace meadowthread
