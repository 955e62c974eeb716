#include "policy/dispatcher.h"

#include <random>
#include <utility>

namespace meadowthread {
namespace {

/// Asks the chooser for each piece of work and keeps its last decision.
class ChooserProbe final : public CapacityProbe {
 public:
  ChooserProbe(EngineChooser& chooser, const FleetState& fleet,
               std::int64_t now_ms, std::uint64_t random)
      : chooser(chooser), fleet(fleet), now_ms(now_ms), rng(random) {}

  bool Fits(const WorkItem& work) override {
    this->last_decision =
        this->chooser.Choose(work, this->fleet, this->now_ms, this->rng());
    return this->last_decision.engine.has_value();
  }

  Decision TakeDecision() { return std::move(this->last_decision); }

 private:
  EngineChooser& chooser;
  const FleetState& fleet;
  std::int64_t now_ms;
  std::mt19937_64 rng;
  Decision last_decision;
};

}  // namespace

Dispatcher::Dispatcher(FleetState& fleet, EngineChooser& chooser,
                       AdmissionOptions options)
    : fleet(fleet), chooser(chooser), queue(options) {}

DispatchResult Dispatcher::Offer(WorkItem work, std::int64_t now_ms,
                                 std::uint64_t random) {
  const auto curve = this->fleet.Lengths().CurveOf(LengthKeyOf(work));
  const double output = curve->ExpectedRemaining(0, work.max_output_tokens);
  work.expected_tokens = work.prompt_tokens + static_cast<std::int64_t>(output);
  ChooserProbe probe(this->chooser, this->fleet, now_ms, random);
  const AdmissionResult admission =
      this->queue.Offer(work, probe, now_ms, random);
  DispatchResult result;
  result.verdict = admission.verdict;
  result.refusal = admission.reason;
  result.retry_after_ms = admission.retry_after_ms;
  result.decision = probe.TakeDecision();
  if (admission.verdict == AdmissionVerdict::kAdmitted) {
    this->fleet.NoteSent(work, *result.decision.engine, now_ms);
  }
  return result;
}

std::vector<SendOrder> Dispatcher::Drain(std::int64_t now_ms,
                                         std::uint64_t random, int max_orders) {
  std::vector<SendOrder> orders;
  ChooserProbe probe(this->chooser, this->fleet, now_ms, random);
  for (int i = 0; i < max_orders; ++i) {
    std::optional<WorkItem> work = this->queue.Next(probe, now_ms);
    if (!work.has_value()) {
      break;
    }
    Decision decision = probe.TakeDecision();
    this->fleet.NoteSent(*work, *decision.engine, now_ms);
    orders.push_back({std::move(*work), std::move(decision)});
  }
  return orders;
}

std::vector<ExpiredWork> Dispatcher::Expire(std::int64_t now_ms,
                                            std::uint64_t random) {
  return this->queue.Expire(now_ms, random);
}

bool Dispatcher::Cancel(std::string_view request) {
  return this->queue.Remove(request);
}

}  // namespace meadowthread
