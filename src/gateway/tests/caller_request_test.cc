#include "gateway/caller_request.h"

#include <criterion/criterion.h>

#include "base/error.h"
#include "net/problem.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

std::string FieldOf(CompletionApi form, const char* body) {
  return DetailOf(ParseCallerRequest(form, body).status()).field;
}

Test(a_callers_body, of_the_convention_is_read) {
  const auto request = ParseCallerRequest(
      CompletionApi::kChat,
      R"({"model":"m","stream":true,"max_tokens":9,"temperature":0.2,
          "messages":[{"role":"user","content":"a"},
                      {"role":"user","content":[{"type":"text","text":"b"}]}]})");
  cr_assert(request.ok());
  cr_assert(request->prompt == "user: a\nuser: b\n");
  cr_assert(request->stream);
  cr_assert(request->max_tokens == 9);
}

Test(a_callers_body, that_is_wrong_is_refused_naming_the_field) {
  const CompletionApi chat = CompletionApi::kChat;
  const CompletionApi plain = CompletionApi::kCompletion;
  cr_assert(FieldOf(plain, R"({"prompt":"x"})") == "model");
  cr_assert(FieldOf(plain, R"({"model":"m"})") == "prompt");
  cr_assert(FieldOf(plain, R"({"model":"m","prompt":"x","max_tokens":-1})") ==
            "max_tokens");
  cr_assert(FieldOf(plain, R"({"model":"m","prompt":"x","stream":"yes"})") ==
            "stream");
  cr_assert(FieldOf(plain, R"({"model":"m","prompt":"x","n":2})") == "n");
  cr_assert(FieldOf(chat, R"({"model":"m","messages":[]})") == "messages");
  cr_assert(FieldOf(chat, R"({"model":"m","messages":[{"role":"user"}]})") ==
            "messages[0].content");
}

Test(a_callers_body, that_is_no_json_object_is_refused) {
  for (const char* body : {"", "[]", "{", "\xff\xfe", "null", "7"}) {
    const auto request = ParseCallerRequest(CompletionApi::kChat, body);
    cr_assert(DetailOf(request.status()).id == ErrorId::kMalformedRequest);
  }
}

Test(a_problem, carries_code_outcome_step_peer_and_when_to_come_back) {
  ErrorDetail detail;
  detail.id = ErrorId::kOverloaded;
  detail.outcome = Outcome::kNotRun;
  detail.step = "admit";
  detail.peer = "entry-1";
  detail.retry_after_ms = 1500;
  Problem problem;
  problem.status =
      MakeError(absl::StatusCode::kResourceExhausted, detail, "full");
  problem.request = "r-1";
  const WholeResponse response = ProblemResponse(problem);
  const auto body = nlohmann::json::parse(response.body);
  cr_assert(response.http_status == 429);
  cr_assert(body["code"] == 201);
  cr_assert(body["outcome"] == "not_run");
  cr_assert(body["step"] == "admit");
  cr_assert(body["peer"] == "entry-1");
  cr_assert(FindHeader(response.headers, "retry-after") == "2");
}

}  // namespace
}  // namespace meadowthread
