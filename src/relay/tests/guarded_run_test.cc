// Requests that end the servers which run them, and those beside them: what a
// host's sessions send, say and tell.
#include "quarantine/guarded_run.h"

// Criterion's macros break Abseil's headers where these come after it.
// clang-format off
#include "relay/stream_session.h"
// clang-format on

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "relay/call_session.h"
#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::FakeCaller;
using testing::FakeClient;
using testing::RelayFixture;

constexpr char kGuilty[] = "ends its server";
constexpr char kInnocent[] = "a prompt";

/// @brief One try of a stream, and what its caller gets.
struct Try {
  FakeCaller caller;
  std::unique_ptr<StreamSession> session;

  bool Got(std::string_view text) const {
    return this->caller.Got().find(text) != std::string::npos;
  }
};

struct Story : RelayFixture {
  explicit Story(int servers) : RelayFixture(servers) {}

  RelayRequest Request(const std::string& body) {
    RelayRequest request;
    request.id = absl::StrCat("r-", ++this->tries);
    request.method = "POST";
    request.target = "/x";
    request.body = body;
    request.begun_ms = this->clock.MonotonicMs();
    return request;
  }

  static RelayTerms Terms(RunRule rule, const std::string& workspace) {
    RelayTerms terms;
    terms.route = "route";
    terms.service = "svc";
    terms.workspace = workspace;
    terms.rule = rule;
    terms.timeout_ms = 10'000;
    terms.target_latency_ms = 1'000;
    terms.max_attempts = 2;
    return terms;
  }

  Try& Stream(const std::string& body,
              const std::string& workspace = "makati") {
    this->streams.push_back(std::make_unique<Try>());
    Try& made = *this->streams.back();
    RelayRequest request = this->Request(body);
    request.generation = GenerationSize{"m", 100, 100, 0};
    made.session = std::make_unique<StreamSession>(
        this->parts, this->stream_parts, this->control, this->callers, request,
        Terms(RunRule::kStream, workspace), 4, made.caller.TakeWriter(), [] {});
    made.session->Begin();
    return made;
  }

  void Call(const std::string& body, RunRule rule) {
    this->calls.push_back(std::make_unique<CallSession>(
        this->parts, this->Request(body), Terms(rule, "makati"),
        [this](const absl::StatusOr<HttpResponse>& told) {
          this->result = told;
        }));
    this->calls.back()->Begin();
  }

  std::size_t Sent() const { return this->client.sent.size(); }

  /// @brief The server of the last sending ends, and its entry lapses.
  void EndServer() {
    const std::size_t last = this->Sent() - 1;
    const std::string server = this->ServerOf(last);
    this->client.Break(last, true);
    this->listen_check.Answer(ListenState::kRefused);
    this->backends.Remove(server);
    this->fleet.RemoveEngine(server);
  }

  void EndThree() {
    for (int n = 0; n < 3; ++n) {
      const std::size_t before = this->Sent();
      this->Stream(kGuilty);
      cr_assert(this->Sent() == before + 1);
      this->EndServer();
    }
  }

  int tries = 0;
  std::vector<std::unique_ptr<Try>> streams;
  std::vector<std::unique_ptr<CallSession>> calls;
  absl::StatusOr<HttpResponse> result = absl::UnknownError("not told yet");
};

Test(a_stream_in_quarantine, is_refused_at_once_as_not_run) {
  Story story(6);
  story.EndThree();
  const std::size_t sent = story.Sent();
  const Try& next = story.Stream(kGuilty);
  cr_assert(story.Sent() == sent, "sent to no server");
  cr_assert(next.Got(" 503 ") && next.Got("\"outcome\":\"not_run\""));
  cr_assert(next.Got("\"code\":208") && next.Got("Retry-After: 600"), "%s",
            next.caller.Got().c_str());
}

Test(a_stream_in_quarantine, keeps_no_other_from_being_served) {
  Story story(6);
  story.EndThree();
  const std::size_t sent = story.Sent();
  story.Stream(kInnocent);
  story.Stream(kGuilty, "pasig");
  cr_assert(story.Sent() == sent + 2, "another content, another workspace");
}

Test(a_stream_in_quarantine, may_be_tried_again_when_its_time_is_over) {
  Story story(6);
  story.EndThree();
  story.Pass(600'001);
  const std::size_t sent = story.Sent();
  story.Stream(kGuilty);
  cr_assert(story.Sent() == sent + 1);
  story.EndServer();
  story.Stream(kGuilty);
  cr_assert(story.Sent() == sent + 1, "one more end was enough");
}

Test(ends_that_were_announced, speak_against_no_request) {
  Story story(6);
  for (int n = 0; n < 5; ++n) {
    story.Stream(kGuilty);
    const std::size_t last = story.Sent() - 1;
    story.backends.NoteLeaving(story.ServerOf(last));
    story.client.Break(last, true);
    cr_assert(story.listen_check.asked.empty());
  }
}

Test(servers_that_go_on_after_a_broken_connection, speak_against_no_request) {
  Story story(2);
  for (int n = 0; n < 6; ++n) {
    const std::size_t before = story.Sent();
    story.Stream(kInnocent);
    cr_assert(story.Sent() == before + 1);
    story.client.Break(before, true);
    story.listen_check.Answer(ListenState::kListens);
    story.Pass(10'000);
  }
}

Test(a_request_beside_one_that_ends_servers, is_cleared_by_one_good_end) {
  Story story(8);
  for (int n = 0; n < 6; ++n) {
    const std::size_t before = story.Sent();
    story.Stream(kInnocent);
    cr_assert(story.Sent() == before + 1);
    if (n % 3 == 2) {
      story.client.Head(before, 200,
                        {{std::string(testing::kSignedHeader), "yes"},
                         {"Content-Type", "text/event-stream"}});
      story.client.Data(before, "id: 0\ndata: t\n\n");
      story.client.End(before, FakeClient::Whole(200));
      story.Pass(10);
    } else {
      story.EndServer();
    }
  }
}

Test(a_call_that_may_be_repeated, is_not_sent_on_once_it_is_in_quarantine) {
  Story story(6);
  story.Call(kGuilty, RunRule::kRepeatable);
  story.EndServer();  // it was sent to a second one meanwhile
  cr_assert(story.Sent() == 2);
  story.EndServer();
  story.Call(kGuilty, RunRule::kRepeatable);
  cr_assert(story.Sent() == 3);
  // Known to have ended a third one before the first's connection breaks.
  CrashRecord record;
  record.id = {"makati", ContentKeyOf(story.calls.back()->Request(),
                                      story.calls.back()->Terms())};
  record.request = "elsewhere";
  record.ends = {{"s-9", true, story.clock.WallMs()}};
  story.quarantine.Book().Take(record, story.clock.WallMs());
  story.client.Break(2, true);
  cr_assert(story.Sent() == 3);
  const ErrorDetail detail = DetailOf(story.result.status());
  cr_assert(detail.id == ErrorId::kQuarantined);
  cr_assert(detail.outcome == Outcome::kUnknown, "its first attempt may run");
  cr_assert(detail.retry_after_ms < 0);
}

Test(a_request_that_was_just_sent, ends_when_its_content_is_put_in_quarantine) {
  Story story(6);
  Try& waiting = story.Stream(kGuilty);
  Try& answered = story.Stream(kInnocent);
  story.quarantine.AddListener([&](const CrashRecordId& quarantined) {
    for (const auto& one : story.streams) {
      one->session->EndIfQuarantined(quarantined);
    }
  });
  story.EndThree();
  cr_assert(waiting.session->Phase() == StreamPhase::kEnded);
  cr_assert(waiting.Got(" 502 ") || waiting.Got("\"outcome\":\"unknown\""));
  cr_assert_not(story.client.IsOpen(0), "its engine is told to leave it");
  cr_assert(answered.session->Phase() == StreamPhase::kSent);
}

}  // namespace
}  // namespace meadowthread
