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

/// @brief What PressureChooser weighs. One unit of cost is an engine's whole
/// memory.
struct PressureOptions {
  /// Part of the memory that may be expected to be used with new work added.
  /// The rest is for outputs longer than expected and for runs of engines that
  /// leave: at 0.95 of it 42 runs a day of crowding were preempted, at 0.8 17
  /// (mean of four seeds), with as many answers in time.
  double memory_limit = 0.8;
  /// As above, of what is used now, for work that ends within a few hundred
  /// tokens: it does not wait for what grows later.
  double short_work_limit = 0.9;
  /// Part of both limits for work that is late whenever it begins. With all of
  /// the limits it kept first attempts out: whole-day share of worth 0.68 on a
  /// burst of three times the load, 0.75 with this part (mean of four seeds).
  double late_work_part = 0.7;
  /// Memory beyond this part costs `crowded_weight` more: an engine that is
  /// taken away has a second and a half, in which its link carries about half
  /// of its memory to others.
  double crowded_part = 0.4;
  double crowded_weight = 1.5;
  /// Cost of the prompt tokens an engine has yet to read, for each
  /// `reading_unit` of them: new work waits behind them.
  double reading_weight = 0.25;
  double reading_unit = 3'000.0;
  /// Cost of each request that runs: tokens come slower beside it.
  double request_weight = 0.01;
  /// Cost of an engine all of whose recent requests failed.
  double failure_weight = 1.5;
  /// Cost of an engine that could not be reached lately: one that is gone has
  /// no load, so that nothing else keeps requests from it. Above all other
  /// costs together, so that it is taken only where no other is left.
  double aside_cost = 20.0;
  /// Cost of an engine in its slow first seconds.
  double cold_cost = 0.35;
  /// Cost of an engine in another availability zone.
  double zone_cost = 0.02;
  /// Cost of an engine whose link carries a copy of another run: for work that
  /// is copied itself.
  double busy_link_cost = 0.0;
  /// Cost of a zone over whose links nearly every long stream stalls.
  double bad_link_cost = 1.0;
  /// Engines within this cost of the best are picked between at random, so
  /// that hosts that see the same state do not all send to the same one.
  double near_equal = 0.03;
  std::string zone;  ///< this host's
};

/// @brief Sends work to the engine under the least pressure: expected memory,
/// prompts to be read, requests beside it, failures seen.
class PressureChooser final : public EngineChooser {
 public:
  explicit PressureChooser(PressureOptions options)
      : options(std::move(options)) {}

  /// @brief Says how many requests of other hosts, not told of yet, have been
  /// sent on average when this host chooses: over so many of the best engines
  /// it spreads its own.
  void SetUnseen(double requests) { this->unseen = requests; }

  /// @brief Weighs how good the ways from other zones are.
  /// @param[in] with outlives the chooser; null: they are taken for good
  void SetLinks(const LinkQuality* with) { this->links = with; }

  /// @brief Looks only at engines of which this is true.
  void SetWithin(std::function<bool(const EngineView& view)> with) {
    this->within = std::move(with);
  }

  /// @complexity O(engines that serve the work)
  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "pressure"; }

 private:
  struct Scored {
    EngineIndex engine = 0;
    double cost = 0.0;
    double memory_part = 0.0;
    int in_flight = 0;
    std::int64_t reading = 0;
    double first_event_ms = 0.0;
    bool fits = false;
  };

  /// What the ways from each zone cost now, by zone.
  StringMap<double> LinkCosts(const WorkItem& work, const FleetState& fleet,
                              std::int64_t now_ms) const;
  Scored Score(const WorkItem& work, const FleetState& fleet,
               EngineIndex engine, const MemoryForecast& added,
               std::int64_t now_ms) const;
  Decision Pick(const WorkItem& work, const FleetState& fleet,
                std::vector<Scored>& scored, std::uint64_t random) const;

  PressureOptions options;
  double unseen = 0.0;
  const LinkQuality* links = nullptr;
  std::function<bool(const EngineView& view)> within;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_PRESSURE_CHOOSER_H_
