#ifndef MEADOWTHREAD_POLICY_TESTS_FLEET_FIXTURE_H_
#define MEADOWTHREAD_POLICY_TESTS_FLEET_FIXTURE_H_

#include <cstdint>
#include <string>

#include "policy/fleet_state.h"
#include "policy/length_model.h"

namespace meadowthread::testing {

inline constexpr std::int64_t kCapacity = 20'000;

inline std::string EngineName(int number) {
  return "e" + std::to_string(number);
}

inline LoadReport ReportOf(int engine, std::int64_t as_of_ms) {
  LoadReport report;
  report.engine = EngineName(engine);
  report.incarnation = "1";
  report.as_of_unix_ms = as_of_ms;
  report.kv_capacity = kCapacity;
  report.models = {{"m", "", "1"}};
  return report;
}

inline WorkItem Work(const std::string& request,
                     Urgency urgency = Urgency::kNormal) {
  WorkItem work;
  work.request = request;
  work.workspace = "lab";
  work.template_name = "report";
  work.model = "m";
  work.version = "1";
  work.prompt_tokens = 100;
  work.urgency = urgency;
  return work;
}

/// @brief A fleet of engines that have all sent a load report at time 0.
struct Fleet {
  explicit Fleet(int engines) : state(this->lengths) {
    for (int i = 0; i < engines; ++i) {
      this->state.SetEngine({EngineName(i), "z", true, false}, 0);
      this->state.ApplyReport(ReportOf(i, 0), 0);
    }
  }

  /// @brief Teaches the length model that outputs of the work's key have this
  /// length.
  void Teach(const WorkItem& work, std::int64_t tokens) {
    for (int i = 0; i < 400; ++i) {
      this->lengths.Observe(LengthKeyOf(work), tokens);
    }
  }

  LearnedLengthModel lengths;
  FleetState state;
};

}  // namespace meadowthread::testing

#endif  // MEADOWTHREAD_POLICY_TESTS_FLEET_FIXTURE_H_
