#ifndef MEADOWTHREAD_POLICY_PRESSURE_CHOOSER_H_
#define MEADOWTHREAD_POLICY_PRESSURE_CHOOSER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/chooser.h"
#include "policy/link_quality.h"

namespace meadowthread {

/// @brief Limits and cost weights of PressureChooser. One unit of cost
/// corresponds to the whole memory of an engine.
struct PressureOptions {
  /// Fraction of the memory that may be in use, as forecast with the new work
  /// added. The rest is reserved for outputs longer than expected and for runs
  /// migrated off engines that are leaving.
  double memory_limit = 0.8;
  /// Limit on the memory in use now, instead of `memory_limit`, for work that
  /// ends within a few hundred tokens: such work need not wait because of
  /// memory that other streams use only later.
  double short_work_limit = 0.9;
  /// Fraction of both limits available to work that will be late in any case.
  /// With the full limits, such work would displace first attempts.
  double late_work_part = 0.7;
  /// Each unit of forecast memory use above this fraction costs an extra
  /// `crowding_weight`. The fraction is just below half because an engine that
  /// is taken away gives a second and a half of notice, in which its link can
  /// copy about half of its memory to other engines.
  double crowding_threshold = 0.4;
  double crowding_weight = 1.5;
  /// Cost of each `prefill_unit_tokens` prompt tokens that the engine has yet
  /// to prefill, because new work waits behind them.
  double prefill_weight = 0.25;
  double prefill_unit_tokens = 3'000.0;
  /// Cost of an engine on which long work has to expect a longer pause than it
  /// bears.
  double pause_weight = 2.0;
  /// Cost of each running request on such an engine for work whose prompt is
  /// prefilled beside it, by `prefill_unit_tokens`, because the prefill makes
  /// the running request late.
  double disturbance_weight = 0.4;
  /// Cost of each running request, because each one slows down the token
  /// generation of the others.
  double request_weight = 0.01;
  /// Cost of an engine whose recent requests have all failed.
  double failure_weight = 1.5;
  /// Cost of an engine that recently could not be reached or refused a KV-cache
  /// copy. An engine that is gone has no load, so its other costs would be the
  /// lowest of all. Exceeds all other costs together, so that such an engine is
  /// chosen only if no other is available.
  double last_resort_cost = 20.0;
  /// Cost of an engine that is still slow after its start.
  double cold_cost = 0.35;
  /// Cost of an engine in another availability zone.
  double zone_cost = 0.02;
  /// Cost of an engine whose link is busy with another KV-cache copy; nonzero
  /// only when a target is chosen for a migration, which needs the link for its
  /// own copy.
  double busy_link_cost = 0.0;
  /// Cost of an engine in a zone whose links are so degraded that nearly every
  /// long stream over them stalls.
  double degraded_link_cost = 1.0;
  /// Engines whose costs exceed the lowest one by at most this are chosen among
  /// at random, so that hosts with the same view do not all send to the same
  /// engine.
  double near_equal = 0.03;
  std::string zone;  ///< this host's availability zone
};

/// @brief Sends work to the engine under the least pressure, a cost made up of
/// forecast memory use, prompts yet to be prefilled, running requests and
/// recent failures.
class PressureChooser final : public EngineChooser {
 public:
  explicit PressureChooser(PressureOptions options)
      : options(std::move(options)) {}

  /// @brief Sets the average number of requests that other hosts have sent and
  /// of which this host does not know yet when it chooses. The choice is made
  /// among that many more of the best engines.
  void SetUnseenRequests(double requests) { this->unseen_requests = requests; }

  /// @brief Adds the cost of degraded paths from other zones.
  /// @param[in] quality must outlive the chooser; null: all paths count as good
  void SetLinks(const LinkQuality* quality) { this->links = quality; }

  /// @brief Restricts the choice to engines for which the predicate is true.
  void SetEngineFilter(std::function<bool(const EngineView& view)> predicate) {
    this->filter = std::move(predicate);
  }

  /// @complexity O(engines that serve the work)
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "pressure"; }

 private:
  struct ScoredEngine {
    EngineIndex engine = 0;
    double cost = 0.0;
    double memory_share = 0.0;
    int in_flight = 0;
    std::int64_t prefill_tokens = 0;
    double first_event_ms = 0.0;
    bool fits = false;
    /// It would fit if one run of a peer there were over.
    bool fits_without_peer_run = false;
  };

  /// Cost of the network path from each zone, by zone.
  StringMap<double> LinkCosts(const WorkItem& work, const FleetState& fleet,
                              std::int64_t now_ms) const;
  /// Cost of pauses beyond the work's limit, for the work itself and for the
  /// requests that its prefill delays.
  double PauseCost(const WorkItem& work, const FleetState& fleet,
                   const ScoredEngine& scored) const;
  ScoredEngine Score(const WorkItem& work, const FleetState& fleet,
                     EngineIndex engine, const MemoryForecast& added,
                     std::int64_t now_ms) const;
  /// What counts for whether an engine has room.
  struct EngineRoom {
    EngineIndex engine = 0;
    double capacity = 0.0;
    MemoryForecast forecast;  ///< with the work added
    std::int64_t prefill_tokens = 0;
  };

  bool HasRoom(const WorkItem& work, const FleetState& fleet,
               const MemoryForecast& added, const EngineRoom& room) const;
  bool HasRoomWithoutPeerRun(const WorkItem& work, const FleetState& fleet,
                             EngineIndex engine, const MemoryForecast& added,
                             const EngineRoom& room, std::int64_t now_ms) const;
  Decision Pick(const WorkItem& work, const FleetState& fleet,
                std::vector<ScoredEngine>& scored, std::int64_t now_ms,
                std::uint64_t random) const;

  PressureOptions options;
  double unseen_requests = 0.0;
  const LinkQuality* links = nullptr;
  std::function<bool(const EngineView& view)> filter;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_PRESSURE_CHOOSER_H_
