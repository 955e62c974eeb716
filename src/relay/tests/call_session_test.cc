// Calls of plain services: what is sent, what is sent again, what is said.
#include "relay/call_session.h"

#include <criterion/criterion.h>

#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::RelayFixture;

struct CallStory : RelayFixture {
  explicit CallStory(int servers) : RelayFixture(servers) {
    this->request.id = "c-1";
    this->request.method = "POST";
    this->request.target = "/x";
    this->request.begun_ms = this->clock.MonotonicMs();
    this->terms.route = "route";
    this->terms.service = "svc";
    this->terms.timeout_ms = 1'000;
    this->terms.target_latency_ms = 100;
    this->terms.max_attempts = 2;
  }

  CallSession& Begin(RunRule rule) {
    this->terms.rule = rule;
    this->session = std::make_unique<CallSession>(
        this->parts, this->request, this->terms,
        [this](const absl::StatusOr<HttpResponse>& result) {
          ++this->told;
          this->result = result;
        });
    this->session->Begin();
    return *this->session;
  }

  ErrorDetail Failure() const { return DetailOf(this->result.status()); }

  RelayRequest request;
  RelayTerms terms;
  std::unique_ptr<CallSession> session;
  int told = 0;
  absl::StatusOr<HttpResponse> result = absl::UnknownError("not told yet");
};

Test(a_call, gets_its_servers_own_answer_once) {
  CallStory story(2);
  story.Begin(RunRule::kOnce);
  story.client.Answer(0, 200, "done");
  cr_assert(story.told == 1 && story.result->body == "done");
  story.Pass(5'000);
  cr_assert(story.told == 1 && story.client.sent.size() == 1);
  cr_assert(story.observer.ends.size() == 1);
}

Test(a_call, that_reached_nobody_is_sent_elsewhere_at_no_cost_to_the_budget) {
  CallStory story(3);
  const double saved = story.budgets.Of("svc").Saved();
  story.Begin(RunRule::kOnce);
  story.client.Break(0, false);
  cr_assert(story.client.sent.size() == 2);
  cr_assert(story.ServerOf(0) != story.ServerOf(1));
  cr_assert(story.budgets.Of("svc").Saved() >= saved);
  story.client.Answer(1, 200, "done");
  cr_assert(story.result.ok());
}

Test(a_call, that_reached_no_server_at_all_has_not_run) {
  CallStory story(3);
  story.Begin(RunRule::kOnce);
  for (std::size_t n = 0; n < 3; ++n) {
    story.client.Break(n, false);
  }
  cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kNotRun);
  cr_assert(story.Failure().retry_after_ms > 0, "it says when to come back");
}

Test(a_call, tells_each_server_only_the_time_that_is_left) {
  CallStory story(2);
  story.Begin(RunRule::kOnce);
  cr_assert(story.Header(0, "Left") == "1000");
  story.Pass(250);
  story.client.Break(0, false);
  cr_assert(story.Header(1, "Left") == "750");
}

Test(a_call_that_may_run_once, is_sent_once_and_unknown_after_a_reset) {
  CallStory story(3);
  story.Begin(RunRule::kOnce);
  story.client.Break(0, true);
  cr_assert(story.client.sent.size() == 1);
  cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kUnknown);
  cr_assert(story.Failure().retry_after_ms < 0, "nobody is asked to repeat it");
}

Test(a_call_that_may_run_once, keeps_its_servers_own_failure) {
  CallStory story(3);
  story.Begin(RunRule::kOnce);
  story.client.Answer(0, 500, "broken");
  cr_assert(story.client.sent.size() == 1);
  cr_assert(story.result->http_status == 500);
}

Test(a_call_that_may_run_once, is_not_hedged) {
  CallStory story(3);
  story.Begin(RunRule::kOnce);
  story.Pass(900);
  cr_assert(story.client.sent.size() == 1);
}

Test(a_rejected_call, goes_to_another_server_within_its_routes_attempts) {
  CallStory story(3);
  story.Begin(RunRule::kOnce);
  story.client.Reject(0);
  cr_assert(story.client.sent.size() == 2);
  story.client.Reject(1);
  cr_assert(story.client.sent.size() == 2, "two attempts are its bound");
  cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kNotRun);
  cr_assert(story.Failure().retry_after_ms > 0);
}

Test(a_call_that_may_repeat, takes_a_second_server_after_a_failure) {
  CallStory story(3);
  story.Begin(RunRule::kRepeatable);
  story.client.Answer(0, 500, "broken");
  cr_assert(story.client.sent.size() == 2 && story.told == 0);
  story.client.Answer(1, 200, "done");
  cr_assert(story.result->body == "done");
}

Test(a_call_that_may_repeat, is_hedged_after_twice_its_target) {
  CallStory story(3);
  story.Begin(RunRule::kRepeatable);
  story.Pass(199);
  cr_assert(story.client.sent.size() == 1);
  story.Pass(1);
  cr_assert(story.client.sent.size() == 2);
  story.client.Answer(1, 200, "second");
  cr_assert(story.told == 1 && story.result->body == "second");
  cr_assert(!story.client.IsOpen(0), "the first one is cancelled");
}

Test(a_call_that_may_repeat, waits_for_the_other_server_when_one_fails) {
  CallStory story(2);
  story.Begin(RunRule::kRepeatable);
  story.Pass(200);
  story.client.Answer(0, 500, "broken");
  cr_assert(story.told == 0);
  story.client.Answer(1, 200, "done");
  cr_assert(story.result->body == "done");
}

// Found by reading: the second attempt's end alone decided what was said.
Test(a_call_whose_first_attempt_may_have_run, is_never_said_to_have_not_run) {
  {
    CallStory story(2);
    story.Begin(RunRule::kRepeatable);
    story.client.Break(0, true);
    cr_assert(story.client.sent.size() == 2);
    story.client.Break(1, false);
    cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kUnknown);
    cr_assert(story.Failure().retry_after_ms < 0);
  }
  {
    CallStory story(2);
    story.Begin(RunRule::kRepeatable);
    story.client.Break(0, true);
    story.client.Reject(1);
    cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kUnknown);
  }
}

Test(a_call_at_its_deadline, is_answered_at_once_with_what_is_known) {
  CallStory story(1);
  story.Begin(RunRule::kOnce);
  story.Pass(1'000);
  cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kUnknown);
  cr_assert(!story.client.IsOpen(0));
}

Test(a_call_at_its_deadline, follows_the_shorter_of_route_and_caller) {
  CallStory story(1);
  story.request.allowed_ms = 300;
  story.Begin(RunRule::kOnce);
  cr_assert(story.Header(0, "Left") == "300");
  story.Pass(300);
  cr_assert(story.told == 1);
}

Test(a_call_without_a_server, has_not_run_and_says_when_to_come_back) {
  CallStory story(0);
  story.Begin(RunRule::kOnce);
  cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kNotRun);
  cr_assert(story.Failure().retry_after_ms > 0);
}

Test(a_call_of_an_emptied_zone, is_not_sent_again_there_by_a_hedge) {
  CallStory story(1);
  BackendEntry entry = story.backends.Find("s-1")->entry;
  entry.id = "s-2";
  entry.zone = "west";
  story.backends.Set(entry);
  story.backends.SetZoneEmptied("west", true);
  story.Begin(RunRule::kRepeatable);
  story.Pass(5'000);
  cr_assert(story.client.sent.size() == 1);
}

Test(a_call_with_homes, is_sent_to_none_elsewhere) {
  CallStory story(1);
  story.terms.homes = HomeRegions({"cebu"});
  story.Begin(RunRule::kOnce);
  cr_assert(story.client.sent.empty());
  cr_assert(story.Failure().id == ErrorId::kOutsideHomes);
  cr_assert(story.Failure().outcome == Outcome::kNotRun);
}

Test(a_call, is_not_sent_to_a_server_that_withstands_no_more) {
  CallStory story(1);
  story.arrivals.SetHosts(std::vector<std::string>{"self"});
  story.arrivals.SetServer("s-1", {1.0, 0.0}, 1'000'000'000);
  story.Begin(RunRule::kOnce);
  story.client.Answer(0, 200, "done");
  cr_assert(story.result.ok());
  story.Begin(RunRule::kOnce);
  cr_assert(story.client.sent.size() == 1);
  cr_assert(story.Failure().outcome == Outcome::kNotRun);
  cr_assert(story.Failure().retry_after_ms > 0);
}

Test(a_call_under_a_claim, is_not_sent_once_the_claim_is_over) {
  CallStory story(2);
  story.terms.send_until_unix_ms = story.clock.WallMs() + 100;
  story.Begin(RunRule::kOnce);
  story.Pass(100);
  story.client.Break(0, false);
  cr_assert(story.client.sent.size() == 1);
  cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kNotRun);
}

Test(a_call_whose_caller_left, is_cancelled_and_told_to_nobody) {
  CallStory story(2);
  story.Begin(RunRule::kRepeatable).Abandon();
  cr_assert(!story.client.IsOpen(0) && story.told == 0);
  story.Pass(5'000);
  cr_assert(story.client.sent.size() == 1 && story.told == 0);
  cr_assert(story.observer.ends[0].outcome == "caller_gone");
}

Test(a_success_that_no_server_vouches_for, is_replaced_by_a_failure) {
  CallStory story(1);
  story.Begin(RunRule::kOnce);
  story.client.Head(0, 200, {});
  story.client.Data(0, "who knows whose");
  story.client.End(0, testing::FakeClient::Whole(200));
  cr_assert(story.told == 1 && story.Failure().id == ErrorId::kPeerMalformed);
  cr_assert(story.Failure().outcome == Outcome::kUnknown);
}

// Found by this test: the process ended, as an error without one was told.
Test(an_answer_beyond_its_bound, ends_as_unknown) {
  CallStory story(1);
  story.Begin(RunRule::kOnce);
  story.client.Head(0, 200, {{std::string(testing::kSignedHeader), "yes"}});
  const std::string megabyte(std::size_t{1024} * 1024, 'x');
  for (int i = 0; i < 9; ++i) {
    story.client.Data(0, megabyte);
  }
  cr_assert(!story.client.IsOpen(0), "the rest is not read");
  cr_assert(story.told == 1 && story.Failure().outcome == Outcome::kUnknown);
}

Test(a_call_whose_host_ends, is_told_as_not_run_only_where_no_server_has_it) {
  CallStory sent(1);
  sent.Begin(RunRule::kOnce).EndWithHost(700);
  cr_assert(sent.Failure().outcome == Outcome::kUnknown);
  cr_assert(sent.Failure().retry_after_ms == -1);
  CallStory unsent(0);
  unsent.Begin(RunRule::kOnce).EndWithHost(700);
  cr_assert(unsent.told == 1);
  cr_assert(unsent.Failure().outcome == Outcome::kNotRun);
}

}  // namespace
}  // namespace meadowthread
