#ifndef MEADOWTHREAD_PLACEMENT_HOLDINGS_H_
#define MEADOWTHREAD_PLACEMENT_HOLDINGS_H_

#include <span>
#include <string_view>
#include <vector>

#include "placement/planner.h"

namespace meadowthread::detail {

/// @brief A needed model on an engine.
struct HeldModel {
  int model = 0;          ///< index among the needed models
  bool reported = false;  ///< loaded now, by the engine's own report
};

/// @brief An engine that counts, as the plan changes it.
struct EngineHoldings {
  const PlacedEngine* view = nullptr;
  int zone = 0;
  std::vector<HeldModel> held;
  std::vector<ServedModel> unneeded;  ///< loaded, but no template needs it
  bool changed = false;               ///< by this plan

  int FreeSlots() const;
  bool Holds(int model) const;
};

/// @brief How many engines hold a needed model.
struct ModelHoldings {
  double quota = 0;  ///< copies by its share of the demand
  int least = 0;     ///< copies it must have
  int copies = 0;    ///< held or ordered, on live and silent engines
  int sure = 0;      ///< loaded on live engines and not ordered away
  std::vector<int> by_zone;

  /// @brief Copies above its share; negative: below.
  double Excess() const { return this->copies - this->quota; }
  int ZonesHeld() const;
};

/// @brief Who holds what, counted once and kept up to date by changes.
class Holdings {
 public:
  Holdings(const PlannerSettings& settings, const PlannerInput& input);

  std::vector<EngineHoldings>& Engines() { return this->engines; }
  const std::vector<ModelHoldings>& Models() const { return this->models; }
  int ZoneCount() const { return static_cast<int>(this->zone_sizes.size()); }
  /// @brief Copies of the model for each engine of the zone.
  double ZoneShare(int model, int zone) const;
  /// @brief Engines whose orders are under way, those of this plan included.
  int Changing() const { return this->changing; }

  void Add(EngineHoldings& engine, int model);
  void Remove(EngineHoldings& engine, int model);
  /// @brief Notes that the plan changes the engine.
  void MarkChanged(EngineHoldings& engine);

 private:
  void AddEngine(const PlacedEngine& view, std::span<const NeededModel> needed);
  int ZoneIndex(std::string_view zone);
  void SetQuotas(const PlannerSettings& settings, const PlannerInput& input);

  std::vector<EngineHoldings> engines;
  std::vector<ModelHoldings> models;
  std::vector<std::string_view> zones;
  std::vector<int> zone_sizes;
  int changing = 0;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_PLACEMENT_HOLDINGS_H_
