// What a host's sessions send and report for requests that crash their servers,
// and for other requests that run on the same servers.
#include "quarantine/request_quarantine.h"

// Criterion's macros break Abseil's headers if those are included after it.
// clang-format off
#include "relay/stream_session.h"
// clang-format on

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "quarantine/content_key.h"
#include "quarantine/crash_messages.h"
#include "relay/call_session.h"
#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::FakeCaller;
using testing::FakeClient;
using testing::RelayFixture;

constexpr char kCrashingPrompt[] = "crashes its server";
constexpr char kHarmlessPrompt[] = "a prompt";

/// @brief One attempt at a stream, with its caller.
struct StreamAttempt {
  FakeCaller caller;
  std::unique_ptr<StreamSession> session;

  bool Got(std::string_view text) const {
    return this->caller.Got().find(text) != std::string::npos;
  }
};

struct QuarantineFixture : RelayFixture {
  explicit QuarantineFixture(int servers) : RelayFixture(servers) {}

  RelayRequest Request(const std::string& body) {
    RelayRequest request;
    request.id = absl::StrCat("r-", ++this->tries);
    request.method = "POST";
    request.target = "/x";
    request.body = body;
    request.begun_ms = this->clock.MonotonicMs();
    return request;
  }

  static RelayTerms Terms(ExecutionRule rule, const std::string& workspace) {
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

  StreamAttempt& Stream(const std::string& body,
                        const std::string& workspace = "makati") {
    this->streams.push_back(std::make_unique<StreamAttempt>());
    StreamAttempt& made = *this->streams.back();
    RelayRequest request = this->Request(body);
    request.generation = GenerationSize{"m", 100, 100, 0};
    request.shared_parts = this->shared_parts;
    made.session = std::make_unique<StreamSession>(
        this->deps, this->stream_deps, this->control, this->callers, request,
        Terms(ExecutionRule::kStream, workspace), 4, made.caller.TakeWriter(),
        [] {});
    made.session->Begin();
    return made;
  }

  void Call(const std::string& body, ExecutionRule rule) {
    this->calls.push_back(std::make_unique<CallSession>(
        this->deps, this->Request(body), Terms(rule, "makati"),
        [this](const absl::StatusOr<HttpResponse>& outcome) {
          this->result = outcome;
        }));
    this->calls.back()->Begin();
  }

  std::size_t Sent() const { return this->client.sent.size(); }

  /// @brief The server of the last attempt crashes, and its entry is removed.
  void CrashServer() {
    const std::size_t last = this->Sent() - 1;
    const std::string server = this->ServerOf(last);
    this->client.Break(last, true);
    this->listen_check.Answer(ListenProbeResult::kRefused);
    this->backends.Remove(server);
    this->fleet.RemoveEngine(server);
  }

  void CrashThreeServers() {
    for (int n = 0; n < 3; ++n) {
      const std::size_t before = this->Sent();
      this->Stream(kCrashingPrompt);
      cr_assert(this->Sent() == before + 1);
      this->CrashServer();
    }
  }

  /// @brief Three servers crash under streams that share a part and nothing
  /// else.
  void CrashThreeServersByPart() {
    this->shared_parts = {"a1", "c0ffee"};
    for (int n = 0; n < 3; ++n) {
      this->Stream(absl::StrCat("prompt ", n));
      this->CrashServer();
      this->Advance(400);
    }
  }

  /// @brief The n-th attempt's engine sends its first event.
  void BeginAnswer(std::size_t n) {
    this->client.Head(n, 200,
                      {{std::string(testing::kSignedHeader), "yes"},
                       {"Content-Type", "text/event-stream"}});
    this->client.Data(n, "id: 0\ndata: t\n\n");
  }

  int tries = 0;
  std::vector<std::string> shared_parts;  ///< of the streams' prompts
  std::vector<std::unique_ptr<StreamAttempt>> streams;
  std::vector<std::unique_ptr<CallSession>> calls;
  absl::StatusOr<HttpResponse> result = absl::UnknownError("no result yet");
};

Test(a_stream_in_quarantine, is_refused_at_once_as_not_run) {
  QuarantineFixture fixture(6);
  fixture.CrashThreeServers();
  const std::size_t sent = fixture.Sent();
  const StreamAttempt& next = fixture.Stream(kCrashingPrompt);
  cr_assert(fixture.Sent() == sent, "sent to no server");
  cr_assert(next.Got(" 503 ") && next.Got("\"outcome\":\"not_run\""));
  cr_assert(next.Got("\"code\":208") && next.Got("Retry-After: 600"), "%s",
            next.caller.Got().c_str());
}

Test(a_stream_in_quarantine, does_not_block_other_requests) {
  QuarantineFixture fixture(6);
  fixture.CrashThreeServers();
  const std::size_t sent = fixture.Sent();
  fixture.Stream(kHarmlessPrompt);
  fixture.Stream(kCrashingPrompt, "pasig");
  cr_assert(fixture.Sent() == sent + 2, "another content, another workspace");
}

Test(a_stream_in_quarantine, may_be_tried_again_after_the_quarantine) {
  QuarantineFixture fixture(6);
  fixture.CrashThreeServers();
  fixture.Advance(600'001);
  const std::size_t sent = fixture.Sent();
  fixture.Stream(kCrashingPrompt);
  cr_assert(fixture.Sent() == sent + 1);
  fixture.CrashServer();
  fixture.Stream(kCrashingPrompt);
  cr_assert(fixture.Sent() == sent + 1, "one more crash was enough");
}

Test(crashes_of_leaving_servers, are_blamed_on_no_request) {
  QuarantineFixture fixture(6);
  for (int n = 0; n < 5; ++n) {
    fixture.Stream(kCrashingPrompt);
    const std::size_t last = fixture.Sent() - 1;
    fixture.backends.NoteLeaving(fixture.ServerOf(last));
    fixture.client.Break(last, true);
    cr_assert(fixture.listen_check.asked.empty());
  }
}

Test(broken_connections_to_live_servers, are_blamed_on_no_request) {
  QuarantineFixture fixture(2);
  for (int n = 0; n < 6; ++n) {
    const std::size_t before = fixture.Sent();
    fixture.Stream(kHarmlessPrompt);
    cr_assert(fixture.Sent() == before + 1);
    fixture.client.Break(before, true);
    fixture.listen_check.Answer(ListenProbeResult::kListens);
    fixture.Advance(10'000);
  }
}

Test(a_request_beside_one_that_crashes_servers, is_cleared_by_a_success) {
  QuarantineFixture fixture(8);
  for (int n = 0; n < 6; ++n) {
    const std::size_t before = fixture.Sent();
    fixture.Stream(kHarmlessPrompt);
    cr_assert(fixture.Sent() == before + 1);
    if (n % 3 == 2) {
      fixture.client.Head(before, 200,
                          {{std::string(testing::kSignedHeader), "yes"},
                           {"Content-Type", "text/event-stream"}});
      fixture.client.Data(before, "id: 0\ndata: t\n\n");
      fixture.client.End(before, FakeClient::Whole(200));
      fixture.Advance(10);
    } else {
      fixture.CrashServer();
    }
  }
}

Test(a_repeatable_call, is_not_retried_once_it_is_in_quarantine) {
  QuarantineFixture fixture(6);
  fixture.Call(kCrashingPrompt, ExecutionRule::kRepeatable);
  fixture.CrashServer();  // by now the call has been sent to a second server
  cr_assert(fixture.Sent() == 2);
  fixture.CrashServer();
  fixture.Call(kCrashingPrompt, ExecutionRule::kRepeatable);
  cr_assert(fixture.Sent() == 3);
  // Another host reports a crash of a third server before this call's
  // connection breaks.
  CrashRecord record;
  record.id = {"makati", ContentKeyOf(fixture.calls.back()->Request(),
                                      fixture.calls.back()->Terms())};
  record.request = "elsewhere";
  record.crashes = {{"s-9", true, fixture.clock.WallMs()}};
  fixture.quarantine.RecordTable().Apply(record, fixture.clock.WallMs());
  fixture.client.Break(2, true);
  cr_assert(fixture.Sent() == 3);
  const ErrorDetail detail = DetailOf(fixture.result.status());
  cr_assert(detail.id == ErrorId::kQuarantined);
  cr_assert(detail.outcome == Outcome::kUnknown, "its first attempt may run");
  cr_assert(detail.retry_after_ms < 0);
}

Test(a_request_that_was_just_sent, ends_when_its_content_is_put_in_quarantine) {
  QuarantineFixture fixture(6);
  StreamAttempt& waiting = fixture.Stream(kCrashingPrompt);
  StreamAttempt& answered = fixture.Stream(kHarmlessPrompt);
  fixture.quarantine.AddListener([&](const CrashRecord& quarantined) {
    for (const auto& one : fixture.streams) {
      one->session->EndIfQuarantined(quarantined);
    }
  });
  fixture.CrashThreeServers();
  cr_assert(waiting.session->Phase() == StreamPhase::kEnded);
  cr_assert(waiting.Got(" 502 ") || waiting.Got("\"outcome\":\"unknown\""));
  cr_assert_not(fixture.client.IsOpen(0),
                "its request is cancelled at the engine");
  cr_assert(answered.session->Phase() == StreamPhase::kSent);
}

Test(streams_with_a_crashing_part, are_refused_though_no_two_are_alike) {
  QuarantineFixture fixture(6);
  fixture.CrashThreeServersByPart();
  const std::size_t sent = fixture.Sent();
  const StreamAttempt& next = fixture.Stream("another prompt");
  cr_assert(fixture.Sent() == sent && next.Got("\"outcome\":\"not_run\""));
  cr_assert(next.Got("\"code\":208"));
  fixture.shared_parts = {"a1", "b2"};
  fixture.Stream("a sound prompt");
  cr_assert(fixture.Sent() == sent + 1, "it shares the first part only");
  fixture.BeginAnswer(sent);
  fixture.Advance(1'000);
  fixture.client.Data(sent, "id: 1\ndata: t\n\n");
  fixture.shared_parts = {"c0ffee"};
  fixture.Stream("the part alone");
  cr_assert(fixture.Sent() == sent + 1, "the first part is cleared");
}

// A run that has written for a second was not crashed by its own prompt.
Test(streams_with_a_crashing_part, leave_longer_runs_beside_them_blameless) {
  QuarantineFixture fixture(6);
  fixture.shared_parts = {"b2"};
  for (int n = 0; n < 6; ++n) {
    const std::size_t run = fixture.Sent();
    fixture.Stream(absl::StrCat("long ", n));
    cr_assert(fixture.Sent() == run + 1, "%d", n);
    fixture.BeginAnswer(run);
    fixture.Advance(1'000);
    fixture.client.Data(run, "id: 1\ndata: t\n\n");
    fixture.CrashServer();
  }
}

// A first event is no proof: servers crash some 0.1 s after it.
Test(streams_with_a_crashing_part, are_blamed_also_after_a_first_event) {
  QuarantineFixture fixture(6);
  fixture.shared_parts = {"c0ffee"};
  for (int n = 0; n < 3; ++n) {
    const std::size_t run = fixture.Sent();
    fixture.Stream(absl::StrCat("prompt ", n));
    fixture.BeginAnswer(run);
    fixture.Advance(400);
    fixture.CrashServer();
  }
  const std::size_t sent = fixture.Sent();
  fixture.Stream("another prompt");
  cr_assert(fixture.Sent() == sent);
}

Test(streams_with_a_crashing_part, that_were_just_sent_are_taken_back) {
  QuarantineFixture fixture(6);
  fixture.quarantine.AddListener([&](const CrashRecord& quarantined) {
    for (const auto& one : fixture.streams) {
      one->session->EndIfQuarantined(quarantined);
    }
  });
  fixture.shared_parts = {"b2"};
  StreamAttempt& sound = fixture.Stream("sound");
  fixture.shared_parts = {"c0ffee", "a1"};
  StreamAttempt& waiting = fixture.Stream("waiting");
  fixture.CrashThreeServersByPart();
  cr_assert(waiting.session->Phase() == StreamPhase::kEnded);
  cr_assert_not(fixture.client.IsOpen(1));
  cr_assert(sound.session->Phase() == StreamPhase::kSent);
}

// The run had been sent before the operator's decision.
Test(a_content_that_an_operator_keeps, is_not_cleared_by_a_run_in_progress) {
  QuarantineFixture fixture(6);
  fixture.Stream(kCrashingPrompt);
  StreamAttempt& running = fixture.Stream(kCrashingPrompt);
  fixture.client.Break(0, true);
  fixture.listen_check.Answer(ListenProbeResult::kRefused);
  CrashRecord kept = *fixture.quarantine.RecordTable().All().at(0);
  kept.kept_ms = fixture.clock.WallMs();
  fixture.quarantine.RecordTable().Apply(kept, fixture.clock.WallMs());
  fixture.Advance(100);
  fixture.BeginAnswer(1);
  fixture.client.End(1, FakeClient::Whole(200));
  cr_assert(running.session->Phase() == StreamPhase::kEnded);
  const std::size_t sent = fixture.Sent();
  fixture.Stream(kCrashingPrompt);
  cr_assert(fixture.Sent() == sent);
}

Test(crash_records_of_parts, are_read_as_written_and_need_a_valid_part) {
  CrashRecord record;
  record.id = {"makati", PartKeyOf("makati", "c0ffee")};
  record.part = "c0ffee";
  record.crashes = {{"s-1", true, 1'790'000'000'000, true}};
  nlohmann::json value = CrashRecordJson(record);
  cr_assert(*CrashRecordFrom(value) == record);
  // Hosts of earlier versions pass a record on without its part.
  value.erase("part");
  CrashRecord stripped = *CrashRecordFrom(value);
  cr_assert(Merge(record, &stripped) && stripped.part == "c0ffee");
  for (const nlohmann::json& part :
       {nlohmann::json(7), nlohmann::json(""), nlohmann::json("x y")}) {
    value["part"] = part;
    cr_assert(!CrashRecordFrom(value).ok(), "%s", part.dump().c_str());
  }
}

}  // namespace
}  // namespace meadowthread
