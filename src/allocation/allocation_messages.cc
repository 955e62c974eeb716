#include "allocation/allocation_messages.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>

#include "base/error.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// Beyond this a count of tokens or milliseconds is no prompt's and no wait's.
constexpr std::int64_t kMostCount = 1'000'000'000;

enum class Field { kText, kCount, kNumber, kFlag, kTexts };

absl::Status Malformed(std::string_view what) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "read-allocation";
  return MakeError(absl::StatusCode::kInvalidArgument, detail, what);
}

bool IsCount(const json& value) {
  return value.is_number_integer() &&
         (value.is_number_unsigned() || value.get<std::int64_t>() >= 0);
}

bool AreTexts(const json& value) {
  return value.is_array() && value.size() <= kMostAvoided &&
         std::all_of(value.begin(), value.end(),
                     [](const json& one) { return one.is_string(); });
}

bool Fits(const json& value, Field field) {
  switch (field) {
    case Field::kText:
      return value.is_string();
    case Field::kCount:
      return IsCount(value);
    case Field::kNumber:
      return value.is_number() && std::isfinite(value.get<double>());
    case Field::kFlag:
      return value.is_boolean();
    case Field::kTexts:
      return AreTexts(value);
  }
  return false;
}

bool Fits(const json& payload, std::initializer_list<Field> fields) {
  return payload.is_array() && payload.size() == fields.size() &&
         std::equal(
             fields.begin(), fields.end(), payload.begin(),
             [](Field field, const json& value) { return Fits(value, field); });
}

std::int64_t CountOf(const json& value) {
  return static_cast<std::int64_t>(
      std::min<std::uint64_t>(value.get<std::uint64_t>(), kMostCount));
}

}  // namespace

json ToJson(const PlaceAsk& ask) {
  const WorkItem& work = ask.work;
  return json::array({ask.ticket, ask.origin, ask.group, ask.source, ask.avoid,
                      ask.may_pass_on, work.request, work.workspace,
                      work.template_name, work.model, work.prompt_tokens,
                      work.max_output_tokens, static_cast<int>(work.urgency),
                      work.first_event_within_ms, work.is_late,
                      ask.is_passed_on, work.homes.has_value(),
                      work.homes.value_or(std::vector<std::string>{})});
}

absl::StatusOr<PlaceAsk> PlaceAskFrom(const json& payload) {
  constexpr Field kText = Field::kText;
  constexpr Field kCount = Field::kCount;
  if (!Fits(payload,
            {kCount, kText, kText, kText, Field::kTexts, Field::kFlag, kText,
             kText, kText, kText, kCount, kCount, kCount, kCount, Field::kFlag,
             Field::kFlag, Field::kFlag, Field::kTexts})) {
    return Malformed("not an asking for an engine");
  }
  PlaceAsk ask;
  auto at = payload.begin();
  ask.ticket = (at++)->get<std::uint64_t>();
  ask.origin = (at++)->get<std::string>();
  ask.group = (at++)->get<std::string>();
  ask.source = (at++)->get<std::string>();
  ask.avoid = (at++)->get<std::vector<std::string>>();
  ask.may_pass_on = (at++)->get<bool>();
  ask.work.request = (at++)->get<std::string>();
  ask.work.workspace = (at++)->get<std::string>();
  ask.work.template_name = (at++)->get<std::string>();
  ask.work.model = (at++)->get<std::string>();
  ask.work.prompt_tokens = CountOf(*at++);
  ask.work.max_output_tokens = CountOf(*at++);
  ask.work.urgency =
      static_cast<Urgency>(std::min<std::int64_t>(CountOf(*at++), 2));
  ask.work.first_event_within_ms = CountOf(*at++);
  ask.work.is_late = (at++)->get<bool>();
  ask.is_passed_on = (at++)->get<bool>();
  const bool has_homes = (at++)->get<bool>();
  if (has_homes) {
    ask.work.homes = at->get<std::vector<std::string>>();
  }
  ask.work.is_copy = !ask.source.empty();
  ask.work.forced = ask.work.is_copy;
  return ask;
}

json ToJson(const PlaceAnswer& answer) {
  return json::array({answer.ticket, static_cast<int>(answer.verdict),
                      answer.engine, static_cast<float>(answer.cost),
                      static_cast<float>(answer.memory_part), answer.in_flight,
                      answer.first_event_ms, answer.reading_ahead,
                      answer.is_of_other_group});
}

absl::StatusOr<PlaceAnswer> PlaceAnswerFrom(const json& payload) {
  if (!Fits(payload, {Field::kCount, Field::kCount, Field::kText,
                      Field::kNumber, Field::kNumber, Field::kCount,
                      Field::kCount, Field::kCount, Field::kFlag}) ||
      CountOf(payload[1]) > static_cast<int>(PlaceVerdict::kDeclined)) {
    return Malformed("not an answer with an engine");
  }
  PlaceAnswer answer;
  auto at = payload.begin();
  answer.ticket = (at++)->get<std::uint64_t>();
  answer.verdict = static_cast<PlaceVerdict>(CountOf(*at++));
  answer.engine = (at++)->get<std::string>();
  answer.cost = (at++)->get<double>();
  answer.memory_part = (at++)->get<double>();
  answer.in_flight = static_cast<int>(CountOf(*at++));
  answer.first_event_ms = CountOf(*at++);
  answer.reading_ahead = CountOf(*at++);
  answer.is_of_other_group = at->get<bool>();
  return answer;
}

json ToJson(const TurnOver& over) {
  return json::array({over.engine, over.ticket});
}

absl::StatusOr<TurnOver> TurnOverFrom(const json& payload) {
  if (!Fits(payload, {Field::kText, Field::kCount})) {
    return Malformed("not the end of a turn");
  }
  return TurnOver{payload[0].get<std::string>(),
                  payload[1].get<std::uint64_t>()};
}

json ToJson(const GroupPressure& pressure) {
  return json::array({pressure.group, static_cast<float>(pressure.cost)});
}

absl::StatusOr<GroupPressure> GroupPressureFrom(const json& payload) {
  if (!Fits(payload, {Field::kText, Field::kNumber})) {
    return Malformed("not a group's pressure");
  }
  return GroupPressure{payload[0].get<std::string>(), payload[1].get<double>()};
}

json ToJson(const EngineAttempt& attempt) {
  return json::array({attempt.engine, attempt.result});
}

absl::StatusOr<EngineAttempt> EngineAttemptFrom(const json& payload) {
  if (!Fits(payload, {Field::kText, Field::kCount})) {
    return Malformed("not an attempt at an engine");
  }
  return EngineAttempt{payload[0].get<std::string>(),
                       static_cast<int>(CountOf(payload[1]))};
}

json ToJson(const ReadingSeen& seen) {
  return json::array({seen.engine, seen.tokens, seen.took_ms});
}

absl::StatusOr<ReadingSeen> ReadingSeenFrom(const json& payload) {
  if (!Fits(payload, {Field::kText, Field::kCount, Field::kCount})) {
    return Malformed("not what a first event shows");
  }
  return ReadingSeen{payload[0].get<std::string>(), CountOf(payload[1]),
                     CountOf(payload[2])};
}

}  // namespace meadowthread
