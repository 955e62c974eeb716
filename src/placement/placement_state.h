#ifndef MEADOWTHREAD_PLACEMENT_PLACEMENT_STATE_H_
#define MEADOWTHREAD_PLACEMENT_PLACEMENT_STATE_H_

#include <span>
#include <string_view>
#include <vector>

#include "placement/planner.h"

namespace meadowthread::detail {

/// @brief A copy of a needed model on an engine.
struct ModelCopy {
  int model = 0;          ///< index among the needed models
  bool reported = false;  ///< the engine reports it as loaded
};

/// @brief The models on an engine after its pending order and the changes of
/// the plan.
struct EnginePlacement {
  const PlacedEngine* input = nullptr;
  int zone = 0;
  std::vector<ModelCopy> held;
  std::vector<ServedModel> unneeded;  ///< loaded or ordered, but not needed
  bool changed = false;               ///< by the plan

  int FreeSlots() const;
  bool Holds(int model) const;
};

/// @brief The numbers of copies of a needed model.
struct ModelCopyCounts {
  double quota = 0;          ///< copies by its share of the demand
  int min_copies = 0;        ///< required number of copies
  int copies = 0;            ///< loaded or ordered, on live and silent engines
  int confirmed_copies = 0;  ///< loaded on live engines, with no unload ordered
  std::vector<int> by_zone;  ///< `copies` for each zone index

  /// @brief Copies above the quota; negative if below.
  double Excess() const { return this->copies - this->quota; }
  int ZonesHeld() const;
};

/// @brief Which models are on which engines, with counts that are updated with
/// each change of the plan.
class PlacementState {
 public:
  PlacementState(const PlannerSettings& settings, const PlannerInput& input);

  std::vector<EnginePlacement>& Engines() { return this->engines; }
  const std::vector<ModelCopyCounts>& Models() const { return this->models; }
  int ZoneCount() const { return static_cast<int>(this->zone_sizes.size()); }
  /// @brief Copies of the model in the zone divided by the engines of the zone.
  double ZoneShare(int model, int zone) const;
  /// @brief Engines with a pending order or a change in the plan.
  int Changing() const { return this->changing; }

  /// @brief Records a copy of the model that the plan loads on the engine.
  void Add(EnginePlacement& engine, int model);
  /// @brief Records a copy of the model that the plan unloads.
  void Remove(EnginePlacement& engine, int model);
  /// @brief Records that the plan changes the engine.
  void MarkChanged(EnginePlacement& engine);

 private:
  void AddEngine(const PlacedEngine& placed,
                 std::span<const ModelDemand> needed);
  int ZoneIndex(std::string_view zone);
  void SetQuotas(const PlannerSettings& settings, const PlannerInput& input);

  std::vector<EnginePlacement> engines;
  std::vector<ModelCopyCounts> models;
  std::vector<std::string_view> zones;
  std::vector<int> zone_sizes;
  int changing = 0;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_PLACEMENT_PLACEMENT_STATE_H_
