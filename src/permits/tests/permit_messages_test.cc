// Messages about permits between hosts.
#include "permits/permit_messages.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

using nlohmann::json;

Test(messages_about_permits, arrive_as_they_were_sent) {
  const RateNews news = {"i-1/5", 4.4, 120, 20};
  const PermitRequest request = {7, Urgency::kUrgent, news, true};
  const PermitResponse response = {7, PermitResponse::Status::kExhausted, 230,
                                   news, 12};
  const FullNews full = {"s", 4.0, 9.5, 12};
  cr_assert(*FullNewsFrom(ToJson(full)) == full);
  const CallEnded ended = {"s", 4};
  cr_assert(*CallEndedFrom(ToJson(ended)) == ended);
  cr_assert(*RateNewsFrom(ToJson(news)) == news);
  cr_assert(*PermitRequestFrom(ToJson(request)) == request);
  cr_assert(*PermitResponseFrom(ToJson(response)) == response);
}

Test(messages_about_permits, are_refused_if_malformed) {
  const json news = ToJson(RateNews{"s", 1.0, 2, 1});
  for (const json& payload :
       {json(), json("text"), json::array(), json::array({"s", -1.0, 2, 1}),
        json::array({"s", "4", 2, 1}), json::array({"s", 1.0, -2, 1}),
        json::array({3, 1.0, 2, 1})}) {
    cr_assert(!RateNewsFrom(payload).ok() && !FullNewsFrom(payload).ok());
  }
  cr_assert(!PermitRequestFrom(json::array({1, 3, news, true})).ok());
  cr_assert(!PermitRequestFrom(json::array({1, 0, json(), true})).ok());
  cr_assert(!PermitRequestFrom(json::array({-1, 0, news, true})).ok());
  cr_assert(!PermitRequestFrom(json::array({1, 0, news, 1})).ok());
  cr_assert(PermitRequestFrom(json::array({1, 0, news, true})).ok());
  cr_assert(!CallEndedFrom(json::array({7, 1})).ok());
  cr_assert(!CallEndedFrom(json::array({"s", -1})).ok());
  cr_assert(!CallEndedFrom(json("s")).ok());
  cr_assert(!PermitResponseFrom(json::array({1, 3, 0, news, 0})).ok());
  cr_assert(!PermitResponseFrom(json::array({1, 1, -5, news, 0})).ok());
}

Test(a_statement, keeps_its_age_between_hosts_with_other_clocks) {
  const RateStatement statement = {4.4, 1'000, 1'100};
  const RateNews news = NewsOf("s", statement, 1'500);
  const RateStatement there = StatementOf(news, 90'000);
  cr_assert(there.from_ms == 89'500 && there.until_ms == 89'600);
}

Test(extreme_numbers, are_limited) {
  const RateNews news =
      *RateNewsFrom(json::array({"s", 1e300, 1'000'000'000'000'000, 0}));
  cr_assert(news.per_s == kMaxNamedPerS && news.from_age_ms <= 600'000);
  cr_assert(RateNewsFrom(json::array({"s", 0.001, 0, 0}))->per_s ==
            kMinNamedPerS);
}

}  // namespace
}  // namespace meadowthread
