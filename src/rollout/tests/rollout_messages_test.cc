// Encoding and decoding of rollout messages, and rejection of malformed ones.
#include "rollout/rollout_messages.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace meadowthread {
namespace {

using nlohmann::json;

RolloutReport SampleReport() {
  RolloutReport report;
  report.order = {"pool", "v2", 12'000};
  report.process = "front-1/17/1";
  report.others_idle = true;
  report.requests = 40;
  report.routes["long"].target.answers = 3;
  report.routes["long"].target.first.Add(120);
  report.routes["long"].others.failed = 1;
  report.routes["short"].others.gap.Add(9);
  return report;
}

RolloutProgress SampleProgress() {
  return {{"pool", "v2", 12'000}, "front-1", 1'790'000'000'000, 4,
          RolloutStage::kPartial, 0.4};
}

/// @brief Payloads in which each field in turn has another type.
std::vector<json> WithWrongFields(const json& payload) {
  std::vector<json> malformed = {json(), json("x"), json::array({1}),
                                 json::object()};
  for (std::size_t i = 0; i < payload.size(); ++i) {
    for (const json& wrong : {json(), json(-1), json::object()}) {
      json next = payload;
      next[i] = wrong;
      malformed.push_back(next);
    }
  }
  return malformed;
}

Test(a_rollout_report, survives_a_round_trip) {
  const absl::StatusOr<RolloutReport> read =
      RolloutReportFrom(ToJson(SampleReport()));
  cr_assert(read.ok());
  cr_assert(read->routes == SampleReport().routes);
  cr_assert(ToJson(*read) == ToJson(SampleReport()));
}

Test(rollout_progress, survives_a_round_trip) {
  const absl::StatusOr<RolloutProgress> read =
      RolloutProgressFrom(ToJson(SampleProgress()));
  cr_assert(read.ok() && ToJson(*read) == ToJson(SampleProgress()));
}

Test(a_malformed_rollout_message, is_rejected) {
  for (const json& payload : WithWrongFields(ToJson(SampleReport()))) {
    cr_assert(!RolloutReportFrom(payload).ok());
  }
  for (const json& payload : WithWrongFields(ToJson(SampleProgress()))) {
    // The number of an incarnation may be negative.
    const bool is_incarnation =
        payload.is_array() && payload.size() == 6 && payload[2] == json(-1);
    cr_assert(is_incarnation || !RolloutProgressFrom(payload).ok());
  }
}

Test(a_rollout_message, with_values_out_of_range_is_rejected) {
  json progress = ToJson(SampleProgress());
  progress[4] = 99;
  cr_assert(!RolloutProgressFrom(progress).ok(), "no such stage");
  progress = ToJson(SampleProgress());
  progress[5] = 1.5;
  cr_assert(!RolloutProgressFrom(progress).ok(), "more than all requests");
  json report = ToJson(SampleReport());
  report[4][0][1][2] = json::array({99, 1});
  cr_assert(!RolloutReportFrom(report).ok(), "no such size class");
  report = ToJson(SampleReport());
  report[4][0][1][0] = 1e18;
  cr_assert(!RolloutReportFrom(report).ok(), "too many answers");
}

Test(a_rollout_report, with_too_many_routes_is_rejected) {
  RolloutReport report = SampleReport();
  for (std::size_t n = 0; n <= kMaxReportRoutes; ++n) {
    report.routes["route-" + std::to_string(n)].target.answers = 1;
  }
  cr_assert(!RolloutReportFrom(ToJson(report)).ok());
}

}  // namespace
}  // namespace meadowthread
