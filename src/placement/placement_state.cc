#include "placement/placement_state.h"

#include <algorithm>

namespace meadowthread::detail {
namespace {

bool Contains(std::span<const ServedModel> keys, const ServedModel& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

int IndexOf(std::span<const ModelDemand> needed, const ServedModel& key) {
  const auto found =
      std::find_if(needed.begin(), needed.end(),
                   [&key](const ModelDemand& one) { return one.key == key; });
  return found == needed.end() ? -1 : static_cast<int>(found - needed.begin());
}

bool CountsTowardCopies(const PlacedEngine& engine) {
  return engine.owned && (engine.state == EngineLiveness::kLive ||
                          engine.state == EngineLiveness::kSilent);
}

}  // namespace

int EnginePlacement::FreeSlots() const {
  return this->input->capacity - static_cast<int>(this->held.size()) -
         static_cast<int>(this->unneeded.size());
}

bool EnginePlacement::Holds(int model) const {
  return std::any_of(
      this->held.begin(), this->held.end(),
      [model](const ModelCopy& one) { return one.model == model; });
}

int ModelCopyCounts::ZonesHeld() const {
  return static_cast<int>(std::count_if(this->by_zone.begin(),
                                        this->by_zone.end(),
                                        [](int copies) { return copies > 0; }));
}

PlacementState::PlacementState(const PlannerSettings& settings,
                               const PlannerInput& input) {
  this->models.resize(input.needed.size());
  for (const PlacedEngine& placed : input.engines) {
    if (CountsTowardCopies(placed)) {
      this->AddEngine(placed, input.needed);
    }
  }
  this->SetQuotas(settings, input);
}

int PlacementState::ZoneIndex(std::string_view zone) {
  const auto found = std::find(this->zones.begin(), this->zones.end(), zone);
  if (found != this->zones.end()) {
    return static_cast<int>(found - this->zones.begin());
  }
  this->zones.push_back(zone);
  this->zone_sizes.push_back(0);
  for (ModelCopyCounts& model : this->models) {
    model.by_zone.push_back(0);
  }
  return static_cast<int>(this->zones.size()) - 1;
}

void PlacementState::AddEngine(const PlacedEngine& placed,
                               std::span<const ModelDemand> needed) {
  EnginePlacement engine;
  engine.input = &placed;
  engine.zone = this->ZoneIndex(placed.zone);
  ++this->zone_sizes[engine.zone];
  this->changing += placed.ordered.has_value() ? 1 : 0;
  // A pending order counts as completed: what it loads is not ordered again
  // elsewhere, and what it unloads is no longer relied on.
  const DesiredState& expected =
      placed.ordered.has_value() ? *placed.ordered : placed.reported;
  for (const ServedModel& key : expected.models) {
    const int model = IndexOf(needed, key);
    if (model < 0) {
      engine.unneeded.push_back(key);
      continue;
    }
    const bool reported = Contains(placed.reported.models, key);
    engine.held.push_back({model, reported});
    ModelCopyCounts& counts = this->models[model];
    ++counts.copies;
    ++counts.by_zone[engine.zone];
    counts.confirmed_copies +=
        reported && placed.state == EngineLiveness::kLive ? 1 : 0;
  }
  this->engines.push_back(std::move(engine));
}

void PlacementState::SetQuotas(const PlannerSettings& settings,
                               const PlannerInput& input) {
  const int engine_count = static_cast<int>(this->engines.size());
  double slots = 0;
  for (const EnginePlacement& engine : this->engines) {
    slots += engine.input->capacity;
  }
  double total_weight = 0;
  for (const ModelDemand& one : input.needed) {
    total_weight += std::max(0.0, one.weight);
  }
  for (std::size_t index = 0; index < this->models.size(); ++index) {
    const double weight = std::max(0.0, input.needed[index].weight);
    const double share = total_weight > 0 ? weight / total_weight : 0;
    ModelCopyCounts& model = this->models[index];
    model.min_copies = std::min(settings.min_copies, engine_count);
    model.quota =
        std::clamp<double>(share * slots, model.min_copies, engine_count);
  }
}

double PlacementState::ZoneShare(int model, int zone) const {
  return static_cast<double>(this->models[model].by_zone[zone]) /
         this->zone_sizes[zone];
}

void PlacementState::Add(EnginePlacement& engine, int model) {
  engine.held.push_back({model, false});
  ++this->models[model].copies;
  ++this->models[model].by_zone[engine.zone];
}

void PlacementState::Remove(EnginePlacement& engine, int model) {
  const auto found = std::find_if(
      engine.held.begin(), engine.held.end(),
      [model](const ModelCopy& one) { return one.model == model; });
  ModelCopyCounts& counts = this->models[model];
  const bool live = engine.input->state == EngineLiveness::kLive;
  counts.confirmed_copies -= found->reported && live ? 1 : 0;
  --counts.copies;
  --counts.by_zone[engine.zone];
  engine.held.erase(found);
}

void PlacementState::MarkChanged(EnginePlacement& engine) {
  engine.changed = true;
  ++this->changing;
}

}  // namespace meadowthread::detail
