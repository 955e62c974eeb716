#include "policy/dispatcher.h"

#include <random>
#include <utility>

namespace meadowthread {
namespace {

/// Asks the chooser and keeps its last answer.
class ChooserProbe final : public CapacityProbe {
 public:
  ChooserProbe(EngineChooser& chooser, const FleetState& fleet,
               std::int64_t now_ms, std::uint64_t random)
      : chooser(chooser), fleet(fleet), now_ms(now_ms), draws(random) {}

  bool Fits(const WorkItem& work) override {
    this->last =
        this->chooser.Choose(work, this->fleet, this->now_ms, this->draws());
    return this->last.engine.has_value();
  }

  Decision TakeLast() { return std::move(this->last); }

 private:
  EngineChooser& chooser;
  const FleetState& fleet;
  std::int64_t now_ms;
  std::mt19937_64 draws;
  Decision last;
};

}  // namespace

Dispatcher::Dispatcher(FleetState& fleet, EngineChooser& chooser,
                       AdmissionOptions options)
    : fleet(fleet), chooser(chooser), queue(options) {}

DispatchAnswer Dispatcher::Offer(WorkItem work, std::int64_t now_ms,
                                 std::uint64_t random) {
  const auto curve = this->fleet.Lengths().CurveOf(LengthKeyOf(work));
  const double output = curve->ExpectedRemaining(0, work.max_output_tokens);
  work.expected_tokens = work.prompt_tokens + static_cast<std::int64_t>(output);
  ChooserProbe probe(this->chooser, this->fleet, now_ms, random);
  const AdmissionAnswer admission =
      this->queue.Offer(work, probe, now_ms, random);
  DispatchAnswer answer;
  answer.verdict = admission.verdict;
  answer.refusal = admission.reason;
  answer.retry_after_ms = admission.retry_after_ms;
  answer.decision = probe.TakeLast();
  if (admission.verdict == AdmissionVerdict::kAdmitted) {
    this->fleet.NoteSent(work, *answer.decision.engine, now_ms);
  }
  return answer;
}

std::vector<SendOrder> Dispatcher::Drain(std::int64_t now_ms,
                                         std::uint64_t random, int most) {
  std::vector<SendOrder> orders;
  ChooserProbe probe(this->chooser, this->fleet, now_ms, random);
  for (int sent = 0; sent < most; ++sent) {
    std::optional<WorkItem> work = this->queue.Next(probe, now_ms);
    if (!work.has_value()) {
      break;
    }
    Decision decision = probe.TakeLast();
    this->fleet.NoteSent(*work, *decision.engine, now_ms);
    orders.push_back({std::move(*work), std::move(decision)});
  }
  return orders;
}

std::vector<GivenUp> Dispatcher::Expire(std::int64_t now_ms,
                                        std::uint64_t random) {
  return this->queue.Expire(now_ms, random);
}

bool Dispatcher::Cancel(std::string_view request) {
  return this->queue.Remove(request);
}

}  // namespace meadowthread
