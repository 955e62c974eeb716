// Messages of the hosts that hand out places: there and back, and what is none.
#include "allocation/allocation_messages.h"

#include <criterion/criterion.h>

#include <vector>

namespace meadowthread {
namespace {

using nlohmann::json;

PlaceAsk SomeAsk() {
  PlaceAsk ask;
  ask.ticket = 7;
  ask.origin = "h1";
  ask.group = "z/0";
  ask.source = "e0";
  ask.avoid = {"e1", "e2"};
  ask.may_pass_on = false;
  ask.work.request = "r";
  ask.work.model = "m";
  ask.work.prompt_tokens = 3'000;
  ask.work.urgency = Urgency::kBatch;
  ask.work.first_event_within_ms = 900;
  ask.work.is_late = true;
  ask.work.homes = HomeRegions({"cebu"});
  return ask;
}

Test(an_asking, arrives_as_it_was_sent) {
  const absl::StatusOr<PlaceAsk> read = PlaceAskFrom(ToJson(SomeAsk()));
  cr_assert(read.ok());
  cr_assert(ToJson(*read) == ToJson(SomeAsk()));
  cr_assert(read->work.is_copy && read->work.forced, "a run that is copied");
}

Test(an_answer, arrives_as_it_was_sent) {
  const PlaceAnswer answer{7,    PlaceVerdict::kNoRoom, "e1", 0.5, 0.25, 3, 900,
                           6'000};
  const absl::StatusOr<PlaceAnswer> read = PlaceAnswerFrom(ToJson(answer));
  cr_assert(read.ok() && ToJson(*read) == ToJson(answer));
}

// Each field in turn is one of another kind, and each message too short.
Test(what_is_no_message, is_an_error) {
  const std::vector<json> wrong = {json(), json("x"), json(-1),
                                   json::array({1}), json::object()};
  json ask = ToJson(SomeAsk());
  for (std::size_t i = 0; i < ask.size(); ++i) {
    for (const json& other : wrong) {
      json spoilt = ask;
      spoilt[i] = other;
      const bool is_text = spoilt[i].is_string() && ask[i].is_string();
      cr_assert(is_text || !PlaceAskFrom(spoilt).ok());
    }
  }
  for (const json& other : wrong) {
    cr_assert(!PlaceAskFrom(other).ok() && !PlaceAnswerFrom(other).ok());
    cr_assert(!TurnOverFrom(other).ok() && !GroupPressureFrom(other).ok());
    cr_assert(!EngineAttemptFrom(other).ok());
  }
  json answer = ToJson(PlaceAnswer{});
  answer[1] = 99;
  cr_assert(!PlaceAnswerFrom(answer).ok(), "no verdict");
}

}  // namespace
}  // namespace meadowthread
