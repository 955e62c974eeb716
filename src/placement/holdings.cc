#include "placement/holdings.h"

#include <algorithm>

namespace meadowthread::detail {
namespace {

bool Contains(std::span<const ServedModel> keys, const ServedModel& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

int IndexOf(std::span<const NeededModel> needed, const ServedModel& key) {
  const auto found =
      std::find_if(needed.begin(), needed.end(),
                   [&key](const NeededModel& one) { return one.key == key; });
  return found == needed.end() ? -1 : static_cast<int>(found - needed.begin());
}

bool Counts(const PlacedEngine& engine) {
  return engine.owned && (engine.state == EngineState::kLive ||
                          engine.state == EngineState::kSilent);
}

}  // namespace

int EngineHoldings::FreeSlots() const {
  return this->view->capacity - static_cast<int>(this->held.size()) -
         static_cast<int>(this->unneeded.size());
}

bool EngineHoldings::Holds(int model) const {
  return std::any_of(
      this->held.begin(), this->held.end(),
      [model](const HeldModel& one) { return one.model == model; });
}

int ModelHoldings::ZonesHeld() const {
  return static_cast<int>(std::count_if(this->by_zone.begin(),
                                        this->by_zone.end(),
                                        [](int copies) { return copies > 0; }));
}

Holdings::Holdings(const PlannerSettings& settings, const PlannerInput& input) {
  this->models.resize(input.needed.size());
  for (const PlacedEngine& view : input.engines) {
    if (Counts(view)) {
      this->AddEngine(view, input.needed);
    }
  }
  this->SetQuotas(settings, input);
}

int Holdings::ZoneIndex(std::string_view zone) {
  const auto found = std::find(this->zones.begin(), this->zones.end(), zone);
  if (found != this->zones.end()) {
    return static_cast<int>(found - this->zones.begin());
  }
  this->zones.push_back(zone);
  this->zone_sizes.push_back(0);
  for (ModelHoldings& model : this->models) {
    model.by_zone.push_back(0);
  }
  return static_cast<int>(this->zones.size()) - 1;
}

void Holdings::AddEngine(const PlacedEngine& view,
                         std::span<const NeededModel> needed) {
  EngineHoldings engine;
  engine.view = &view;
  engine.zone = this->ZoneIndex(view.zone);
  ++this->zone_sizes[engine.zone];
  this->changing += view.ordered.has_value() ? 1 : 0;
  // An order under way counts as carried out: what it loads is not ordered
  // again elsewhere, and what it unloads is relied on no more.
  const DesiredState& will_be =
      view.ordered.has_value() ? *view.ordered : view.reported;
  for (const ServedModel& key : will_be.models) {
    const int model = IndexOf(needed, key);
    if (model < 0) {
      engine.unneeded.push_back(key);
      continue;
    }
    const bool reported = Contains(view.reported.models, key);
    engine.held.push_back({model, reported});
    ModelHoldings& counts = this->models[model];
    ++counts.copies;
    ++counts.by_zone[engine.zone];
    counts.sure += reported && view.state == EngineState::kLive ? 1 : 0;
  }
  this->engines.push_back(std::move(engine));
}

void Holdings::SetQuotas(const PlannerSettings& settings,
                         const PlannerInput& input) {
  const int engine_count = static_cast<int>(this->engines.size());
  double slots = 0;
  for (const EngineHoldings& engine : this->engines) {
    slots += engine.view->capacity;
  }
  double weights = 0;
  for (const NeededModel& one : input.needed) {
    weights += std::max(0.0, one.weight);
  }
  for (std::size_t index = 0; index < this->models.size(); ++index) {
    const double weight = std::max(0.0, input.needed[index].weight);
    const double share = weights > 0 ? weight / weights : 0;
    ModelHoldings& model = this->models[index];
    model.least = std::min(settings.min_copies, engine_count);
    model.quota = std::clamp<double>(share * slots, model.least, engine_count);
  }
}

double Holdings::ZoneShare(int model, int zone) const {
  return static_cast<double>(this->models[model].by_zone[zone]) /
         this->zone_sizes[zone];
}

void Holdings::Add(EngineHoldings& engine, int model) {
  engine.held.push_back({model, false});
  ++this->models[model].copies;
  ++this->models[model].by_zone[engine.zone];
}

void Holdings::Remove(EngineHoldings& engine, int model) {
  const auto found = std::find_if(
      engine.held.begin(), engine.held.end(),
      [model](const HeldModel& one) { return one.model == model; });
  ModelHoldings& counts = this->models[model];
  const bool live = engine.view->state == EngineState::kLive;
  counts.sure -= found->reported && live ? 1 : 0;
  --counts.copies;
  --counts.by_zone[engine.zone];
  engine.held.erase(found);
}

void Holdings::MarkChanged(EngineHoldings& engine) {
  engine.changed = true;
  ++this->changing;
}

}  // namespace meadowthread::detail
