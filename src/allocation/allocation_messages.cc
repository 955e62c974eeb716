#include "allocation/allocation_messages.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>

#include "base/error.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// Counts of tokens or milliseconds are clamped to this value, which exceeds the
// length of any prompt and of any wait.
constexpr std::int64_t kMaxCount = 1'000'000'000;

enum class Field { kText, kCount, kNumber, kFlag, kTextArray };

absl::Status Malformed(std::string_view message) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "read-allocation";
  return MakeError(absl::StatusCode::kInvalidArgument, detail, message);
}

bool IsCount(const json& value) {
  return value.is_number_integer() &&
         (value.is_number_unsigned() || value.get<std::int64_t>() >= 0);
}

bool IsTextArray(const json& value) {
  return value.is_array() && value.size() <= kMaxAvoidedEngines &&
         std::all_of(value.begin(), value.end(),
                     [](const json& element) { return element.is_string(); });
}

bool Matches(const json& value, Field field) {
  switch (field) {
    case Field::kText:
      return value.is_string();
    case Field::kCount:
      return IsCount(value);
    case Field::kNumber:
      return value.is_number() && std::isfinite(value.get<double>());
    case Field::kFlag:
      return value.is_boolean();
    case Field::kTextArray:
      return IsTextArray(value);
  }
  return false;
}

bool Matches(const json& payload, std::initializer_list<Field> fields) {
  return payload.is_array() && payload.size() == fields.size() &&
         std::equal(fields.begin(), fields.end(), payload.begin(),
                    [](Field field, const json& value) {
                      return Matches(value, field);
                    });
}

std::int64_t ClampedCount(const json& value) {
  return static_cast<std::int64_t>(
      std::min<std::uint64_t>(value.get<std::uint64_t>(), kMaxCount));
}

}  // namespace

json ToJson(const PlacementRequest& request) {
  const WorkItem& work = request.work;
  return json::array({request.ticket,
                      request.origin,
                      request.group,
                      request.source,
                      request.avoid,
                      request.may_forward,
                      work.request,
                      work.workspace,
                      work.template_name,
                      work.service,
                      work.model,
                      work.prompt_tokens,
                      work.max_output_tokens,
                      static_cast<int>(work.urgency),
                      work.first_event_within_ms,
                      work.is_late,
                      request.is_forwarded,
                      work.allowed_regions.has_value(),
                      work.allowed_regions.value_or(std::vector<std::string>{}),
                      static_cast<int>(work.software.kind),
                      work.software.version,
                      work.max_token_gap_us,
                      work.hinted_output_tokens});
}

namespace {

bool IsPlacementRequest(const json& payload) {
  constexpr Field kText = Field::kText;
  constexpr Field kCount = Field::kCount;
  return Matches(payload, {kCount,
                           kText,
                           kText,
                           kText,
                           Field::kTextArray,
                           Field::kFlag,
                           kText,
                           kText,
                           kText,
                           kText,
                           kText,
                           kCount,
                           kCount,
                           kCount,
                           kCount,
                           Field::kFlag,
                           Field::kFlag,
                           Field::kFlag,
                           Field::kTextArray,
                           kCount,
                           kText,
                           kCount,
                           kCount});
}

}  // namespace

absl::StatusOr<PlacementRequest> PlacementRequestFrom(const json& payload) {
  if (!IsPlacementRequest(payload)) {
    return Malformed("malformed placement request");
  }
  PlacementRequest request;
  auto at = payload.begin();
  request.ticket = (at++)->get<std::uint64_t>();
  request.origin = (at++)->get<std::string>();
  request.group = (at++)->get<std::string>();
  request.source = (at++)->get<std::string>();
  request.avoid = (at++)->get<std::vector<std::string>>();
  request.may_forward = (at++)->get<bool>();
  request.work.request = (at++)->get<std::string>();
  request.work.workspace = (at++)->get<std::string>();
  request.work.template_name = (at++)->get<std::string>();
  request.work.service = (at++)->get<std::string>();
  request.work.model = (at++)->get<std::string>();
  request.work.prompt_tokens = ClampedCount(*at++);
  request.work.max_output_tokens = ClampedCount(*at++);
  request.work.urgency =
      static_cast<Urgency>(std::min<std::int64_t>(ClampedCount(*at++), 2));
  request.work.first_event_within_ms = ClampedCount(*at++);
  request.work.is_late = (at++)->get<bool>();
  request.is_forwarded = (at++)->get<bool>();
  const bool has_homes = (at++)->get<bool>();
  if (has_homes) {
    request.work.allowed_regions = at->get<std::vector<std::string>>();
  }
  ++at;
  request.work.software.kind = static_cast<VersionRule::Kind>(
      std::min<std::int64_t>(ClampedCount(*at++), 2));
  request.work.software.version = (at++)->get<std::string>();
  request.work.max_token_gap_us = ClampedCount(*at++);
  request.work.hinted_output_tokens = ClampedCount(*at);
  request.work.is_copy = !request.source.empty();
  request.work.forced = request.work.is_copy;
  return request;
}

json ToJson(const PlacementResponse& response) {
  return json::array({response.ticket, static_cast<int>(response.status),
                      response.engine, static_cast<float>(response.cost),
                      static_cast<float>(response.memory_share),
                      response.in_flight, response.first_event_ms,
                      response.prefill_tokens_ahead, response.was_forwarded});
}

absl::StatusOr<PlacementResponse> PlacementResponseFrom(const json& payload) {
  if (!Matches(payload, {Field::kCount, Field::kCount, Field::kText,
                         Field::kNumber, Field::kNumber, Field::kCount,
                         Field::kCount, Field::kCount, Field::kFlag}) ||
      ClampedCount(payload[1]) > static_cast<int>(PlacementStatus::kDeclined)) {
    return Malformed("malformed placement response");
  }
  PlacementResponse response;
  auto at = payload.begin();
  response.ticket = (at++)->get<std::uint64_t>();
  response.status = static_cast<PlacementStatus>(ClampedCount(*at++));
  response.engine = (at++)->get<std::string>();
  response.cost = (at++)->get<double>();
  response.memory_share = (at++)->get<double>();
  response.in_flight = static_cast<int>(ClampedCount(*at++));
  response.first_event_ms = ClampedCount(*at++);
  response.prefill_tokens_ahead = ClampedCount(*at++);
  response.was_forwarded = at->get<bool>();
  return response;
}

json ToJson(const LinkRelease& release) {
  return json::array({release.engine, release.ticket});
}

absl::StatusOr<LinkRelease> LinkReleaseFrom(const json& payload) {
  if (!Matches(payload, {Field::kText, Field::kCount})) {
    return Malformed("malformed link release");
  }
  return LinkRelease{payload[0].get<std::string>(),
                     payload[1].get<std::uint64_t>()};
}

json ToJson(const GroupPressure& pressure) {
  return json::array({pressure.group, static_cast<float>(pressure.cost)});
}

absl::StatusOr<GroupPressure> GroupPressureFrom(const json& payload) {
  if (!Matches(payload, {Field::kText, Field::kNumber})) {
    return Malformed("malformed group pressure");
  }
  return GroupPressure{payload[0].get<std::string>(), payload[1].get<double>()};
}

json ToJson(const EngineAttempt& attempt) {
  return json::array({attempt.engine, attempt.result});
}

absl::StatusOr<EngineAttempt> EngineAttemptFrom(const json& payload) {
  if (!Matches(payload, {Field::kText, Field::kCount})) {
    return Malformed("malformed engine attempt");
  }
  return EngineAttempt{payload[0].get<std::string>(),
                       static_cast<int>(ClampedCount(payload[1]))};
}

json ToJson(const PrefillObservation& seen) {
  return json::array({seen.engine, seen.tokens, seen.took_ms});
}

json ToJson(const SpeedObservation& seen) {
  return json::array({seen.engine, seen.typical_us, seen.longest_us});
}

absl::StatusOr<SpeedObservation> SpeedObservationFrom(const json& payload) {
  if (!Matches(payload, {Field::kText, Field::kCount, Field::kCount})) {
    return Malformed("malformed engine speed");
  }
  return SpeedObservation{payload[0].get<std::string>(),
                          ClampedCount(payload[1]), ClampedCount(payload[2])};
}

absl::StatusOr<PrefillObservation> ReadingSeenFrom(const json& payload) {
  if (!Matches(payload, {Field::kText, Field::kCount, Field::kCount})) {
    return Malformed("malformed prefill time");
  }
  return PrefillObservation{payload[0].get<std::string>(),
                            ClampedCount(payload[1]), ClampedCount(payload[2])};
}

}  // namespace meadowthread
