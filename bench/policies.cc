#include "policies.h"

#include <algorithm>

#include "oracle.h"
#include "policy/baseline_choosers.h"

namespace meadowthread::bench {
namespace {

/// Forgets whose output it was: one distribution for all work.
class PooledLengthModel final : public LengthModel {
 public:
  void Observe(const LengthKey&, std::int64_t tokens) override {
    this->inner.Observe(LengthKey{}, tokens);
  }
  std::shared_ptr<const LengthSurvivalCurve> CurveOf(
      const LengthKey&) override {
    return this->inner.CurveOf(LengthKey{});
  }
  std::shared_ptr<const LengthSurvivalCurve> OverallCurve() override {
    return this->inner.OverallCurve();
  }

 private:
  LearnedLengthModel inner;
};

template <typename Chooser>
class PlainFactory final : public PolicyFactory {
 public:
  std::unique_ptr<EngineChooser> MakeChooser(const TrueState&) const override {
    return std::make_unique<Chooser>();
  }
  std::unique_ptr<LengthModel> MakeLengths() const override {
    return std::make_unique<LearnedLengthModel>();
  }
};

class OracleFactory final : public PolicyFactory {
 public:
  std::unique_ptr<EngineChooser> MakeChooser(
      const TrueState& truth) const override {
    return std::make_unique<OracleChooser>(truth);
  }
  std::unique_ptr<LengthModel> MakeLengths() const override {
    return std::make_unique<LearnedLengthModel>();
  }
};

class MemoryAwareFactory final : public PolicyFactory {
 public:
  explicit MemoryAwareFactory(const MemoryAwareSetup& setup) : setup(setup) {}

  std::unique_ptr<EngineChooser> MakeChooser(const TrueState&) const override {
    return std::make_unique<MemoryAwareChooser>(this->setup.options);
  }
  std::unique_ptr<LengthModel> MakeLengths() const override {
    if (this->setup.learn_lengths) {
      return std::make_unique<LearnedLengthModel>();
    }
    return std::make_unique<PooledLengthModel>();
  }
  bool SharesLoads() const override { return this->setup.share_loads; }

 private:
  MemoryAwareSetup setup;
};

}  // namespace

NamedPolicy Baseline(std::string_view name) {
  NamedPolicy policy;
  policy.name = std::string(name);
  if (name == "round_robin") {
    policy.factory = std::make_shared<PlainFactory<RoundRobinChooser>>();
  } else if (name == "least_load") {
    policy.factory = std::make_shared<PlainFactory<LeastLoadChooser>>();
  } else {
    policy.factory = std::make_shared<PlainFactory<PowerOfTwoChooser>>();
  }
  return policy;
}

NamedPolicy Oracle() { return {"oracle", std::make_shared<OracleFactory>()}; }

NamedPolicy MemoryAwarePolicy(std::string_view name,
                              const MemoryAwareSetup& setup) {
  return {std::string(name), std::make_shared<MemoryAwareFactory>(setup)};
}

std::vector<NamedPolicy> Ablations(const MemoryAwareSetup& whole) {
  std::vector<NamedPolicy> policies = {MemoryAwarePolicy("whole", whole)};
  MemoryAwareSetup setup = whole;
  setup.learn_lengths = false;
  policies.push_back(MemoryAwarePolicy("no_learnt_lengths", setup));
  setup = whole;
  setup.share_loads = false;
  policies.push_back(MemoryAwarePolicy("no_shared_loads", setup));
  setup = whole;
  setup.options.max_risk = 1e9;
  policies.push_back(MemoryAwarePolicy("no_memory_admission", setup));
  setup = whole;
  setup.options.urgent_room = 0.0;
  policies.push_back(MemoryAwarePolicy("no_urgent_room", setup));
  setup = whole;
  setup.options.shared_room = 0.0;
  policies.push_back(MemoryAwarePolicy("no_preferred_host", setup));
  setup = whole;
  setup.options.urgent_fullness = 0.0;
  policies.push_back(MemoryAwarePolicy("no_urgent_fullness", setup));
  setup = whole;
  setup.options.prefix_bonus = 0.0;
  policies.push_back(MemoryAwarePolicy("no_prefix_hint", setup));
  return policies;
}

}  // namespace meadowthread::bench
