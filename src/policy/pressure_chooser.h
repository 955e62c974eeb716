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
  /// migrated off engines that are leaving: on a day of overload, 42 runs were
  /// preempted with 0.95 and 17 with 0.8, while as many answers were in time
  /// (mean of four seeds).
  double memory_limit = 0.8;
  /// Same limit on the memory in use now, for work that ends within a few
  /// hundred tokens: it need not wait for memory that other streams use only
  /// later.
  double short_work_limit = 0.9;
  /// Fraction of both limits available to work that will be late in any case.
  /// With the full limits, such work displaced first attempts: on a benchmark
  /// day with a burst of three times the load, the overall score was 0.68 with
  /// the full limits and 0.75 with this fraction (mean of four seeds).
  double late_work_part = 0.7;
  /// Forecast memory use beyond this fraction costs `crowding_weight` more. An
  /// engine that is taken away gives a second and a half of notice, in which
  /// its link can copy about half of its memory to other engines.
  double crowding_threshold = 0.4;
  double crowding_weight = 1.5;
  /// Cost of each `prefill_unit_tokens` prompt tokens that the engine has yet
  /// to prefill, because new work waits behind them.
  double prefill_weight = 0.25;
  double prefill_unit_tokens = 3'000.0;
  /// Cost of each running request, because it slows down the others' tokens.
  double request_weight = 0.01;
  /// Cost of an engine whose recent requests have all failed.
  double failure_weight = 1.5;
  /// Cost of an engine that recently could not be reached or refused a KV-cache
  /// copy. An engine that is gone has no load, so that nothing else keeps
  /// requests away from it. Exceeds all other costs together, so that such an
  /// engine is chosen only if no other is left.
  double last_resort_cost = 20.0;
  /// Cost of an engine that is still slow after its start.
  double cold_cost = 0.35;
  /// Cost of an engine in another availability zone.
  double zone_cost = 0.02;
  /// Cost of an engine whose link is busy with another KV-cache copy; set for
  /// work that is itself migrated by a copy.
  double busy_link_cost = 0.0;
  /// Cost of a zone if nearly every long stream over its links stalls.
  double degraded_link_cost = 1.0;
  /// Picks at random among engines within this cost of the best, so that hosts
  /// with the same view do not all send to the same engine.
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

  /// @brief Sets how many requests other hosts have sent, on average, that this
  /// host does not know of yet when it chooses. Its own requests are spread
  /// over that many more of the best engines.
  void SetUnseen(double requests) { this->unseen_requests = requests; }

  /// @brief Adds the cost of degraded paths from other zones.
  /// @param[in] quality must outlive the chooser; null: all paths count as good
  void SetLinks(const LinkQuality* quality) { this->links = quality; }

  /// @brief Restricts the choice to engines for which the predicate is true.
  void SetWithin(std::function<bool(const EngineView& view)> predicate) {
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
  };

  /// Cost of the network path from each zone, by zone.
  StringMap<double> LinkCosts(const WorkItem& work, const FleetState& fleet,
                              std::int64_t now_ms) const;
  ScoredEngine Score(const WorkItem& work, const FleetState& fleet,
                     EngineIndex engine, const MemoryForecast& added,
                     std::int64_t now_ms) const;
  Decision Pick(const WorkItem& work, const FleetState& fleet,
                std::vector<ScoredEngine>& scored, std::uint64_t random) const;

  PressureOptions options;
  double unseen_requests = 0.0;
  const LinkQuality* links = nullptr;
  std::function<bool(const EngineView& view)> filter;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_PRESSURE_CHOOSER_H_
