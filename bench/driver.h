#ifndef MEADOWTHREAD_BENCH_DRIVER_H_
#define MEADOWTHREAD_BENCH_DRIVER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "fake_engine.h"
#include "measures.h"
#include "policy/chooser.h"
#include "policy/length_model.h"
#include "workload.h"

namespace meadowthread::bench {

/// @brief What an oracle may look at.
class TrueState {
 public:
  virtual ~TrueState() = default;
  virtual const std::vector<std::unique_ptr<FakeEngine>>& Engines() const = 0;
  virtual const Arrival& ArrivalOf(const std::string& request) const = 0;
};

/// @brief Makes each decider's chooser and length model.
class PolicyFactory {
 public:
  virtual ~PolicyFactory() = default;
  virtual std::unique_ptr<EngineChooser> MakeChooser(
      const TrueState& truth) const = 0;
  virtual std::unique_ptr<LengthModel> MakeLengths() const = 0;
  virtual bool SharesLoads() const { return false; }
};

/// @brief Faults of engines during a run.
enum class Faults { kNone, kDeathStallReclaim };

/// @brief One run.
struct RunSettings {
  double tokens_per_second = 0.0;  ///< offered
  std::uint64_t seed = 1;
  Faults faults = Faults::kNone;
  int deciders = 3;
  std::int64_t warm_up_us = 120'000'000;
  std::int64_t duration_us = 600'000'000;
};

/// @brief Runs one policy over one deployment's arrivals in virtual time.
RunResult Run(const Deployment& deployment, const PolicyFactory& policy,
              const RunSettings& settings);

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_BENCH_DRIVER_H_
