#include "rollout/rollout_messages.h"

#include <cmath>
#include <utility>

#include "base/error.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// No host counts as many answers in the life of a process.
constexpr std::int64_t kMaxCount = 1'000'000'000'000;
constexpr std::size_t kMaxNameBytes = 512;
constexpr std::size_t kOrderFields = 3;
constexpr std::size_t kReportFields = 5;
constexpr std::size_t kRouteFields = 3;
constexpr std::size_t kCountsFields = 4;
constexpr std::size_t kProgressFields = 6;

absl::Status Malformed(std::string_view message) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "read-rollout";
  return MakeError(absl::StatusCode::kInvalidArgument, detail, message);
}

bool IsName(const json& value) {
  return value.is_string() &&
         value.get_ref<const std::string&>().size() <= kMaxNameBytes;
}

bool IsCount(const json& value) {
  return value.is_number_integer() &&
         (value.is_number_unsigned() || value.get<std::int64_t>() >= 0) &&
         value.get<std::uint64_t>() <= kMaxCount;
}

bool IsArrayOf(const json& value, std::size_t size) {
  return value.is_array() && value.size() == size;
}

// Only the classes in use: [class, count, class, count, ...].
json DurationsJson(const DurationCounts& durations) {
  json pairs = json::array();
  for (std::size_t index = 0; index < DurationCounts::kClasses; ++index) {
    if (durations.At(index) > 0) {
      pairs.push_back(index);
      pairs.push_back(durations.At(index));
    }
  }
  return pairs;
}

bool ReadDurations(const json& pairs, DurationCounts* durations) {
  if (!pairs.is_array() || pairs.size() % 2 != 0 ||
      pairs.size() > 2 * DurationCounts::kClasses) {
    return false;
  }
  for (std::size_t at = 0; at < pairs.size(); at += 2) {
    const bool fits = IsCount(pairs[at]) && IsCount(pairs[at + 1]) &&
                      pairs[at].get<std::size_t>() < DurationCounts::kClasses;
    if (!fits) {
      return false;
    }
    durations->Set(pairs[at].get<std::size_t>(),
                   pairs[at + 1].get<std::int64_t>());
  }
  return true;
}

json CountsJson(const AnswerCounts& counts) {
  return json::array({counts.answers, counts.failed,
                      DurationsJson(counts.first), DurationsJson(counts.gap)});
}

bool ReadCounts(const json& value, AnswerCounts* counts) {
  if (!IsArrayOf(value, kCountsFields) || !IsCount(value[0]) ||
      !IsCount(value[1])) {
    return false;
  }
  counts->answers = value[0].get<std::int64_t>();
  counts->failed = value[1].get<std::int64_t>();
  return ReadDurations(value[2], &counts->first) &&
         ReadDurations(value[3], &counts->gap);
}

json OrderJson(const RolloutOrder& order) {
  return json::array({order.service, order.target_version, order.duration_ms});
}

bool ReadOrder(const json& value, RolloutOrder* order) {
  if (!IsArrayOf(value, kOrderFields) || !IsName(value[0]) ||
      !IsName(value[1]) || !IsCount(value[2])) {
    return false;
  }
  order->service = value[0].get<std::string>();
  order->target_version = value[1].get<std::string>();
  order->duration_ms = value[2].get<std::int64_t>();
  return true;
}

}  // namespace

json ToJson(const RolloutReport& report) {
  json routes = json::array();
  for (const auto& [name, answers] : report.routes) {
    routes.push_back(json::array(
        {name, CountsJson(answers.target), CountsJson(answers.others)}));
  }
  return json::array({OrderJson(report.order), report.process,
                      report.others_idle, report.requests, std::move(routes)});
}

absl::StatusOr<RolloutReport> RolloutReportFrom(const json& payload) {
  RolloutReport report;
  if (!IsArrayOf(payload, kReportFields) ||
      !ReadOrder(payload[0], &report.order) || !IsName(payload[1]) ||
      !payload[2].is_boolean() || !IsCount(payload[3]) ||
      !payload[4].is_array() || payload[4].size() > kMaxReportRoutes) {
    return Malformed("malformed rollout report");
  }
  report.process = payload[1].get<std::string>();
  report.others_idle = payload[2].get<bool>();
  report.requests = payload[3].get<std::int64_t>();
  for (const json& route : payload[4]) {
    RouteAnswers answers;
    if (!IsArrayOf(route, kRouteFields) || !IsName(route[0]) ||
        !ReadCounts(route[1], &answers.target) ||
        !ReadCounts(route[2], &answers.others)) {
      return Malformed("malformed answers in a rollout report");
    }
    report.routes.emplace(route[0].get<std::string>(), answers);
  }
  return report;
}

json ToJson(const RolloutProgress& progress) {
  return json::array({OrderJson(progress.order), progress.evaluator,
                      progress.incarnation, progress.number,
                      static_cast<int>(progress.stage), progress.share});
}

absl::StatusOr<RolloutProgress> RolloutProgressFrom(const json& payload) {
  RolloutProgress progress;
  const bool fits = IsArrayOf(payload, kProgressFields) &&
                    ReadOrder(payload[0], &progress.order) &&
                    IsName(payload[1]) && payload[2].is_number_integer() &&
                    IsCount(payload[3]) && IsCount(payload[4]) &&
                    payload[4].get<std::int64_t>() <=
                        static_cast<int>(RolloutStage::kRolledBack) &&
                    payload[5].is_number() && payload[5].get<double>() >= 0.0 &&
                    payload[5].get<double>() <= 1.0;
  if (!fits) {
    return Malformed("malformed rollout progress");
  }
  progress.evaluator = payload[1].get<std::string>();
  progress.incarnation = payload[2].get<std::int64_t>();
  progress.number = payload[3].get<std::int64_t>();
  progress.stage = static_cast<RolloutStage>(payload[4].get<int>());
  progress.share = payload[5].get<double>();
  return progress;
}

}  // namespace meadowthread
