#include "gateway/caller_request.h"

#include <criterion/criterion.h>

#include "base/error.h"
#include "net/problem.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

std::string FieldOf(CompletionApi api, const char* body) {
  return DetailOf(ParseCallerRequest(api, body).status()).field;
}

Test(parse_caller_request, accepts_chat_completion_body) {
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

Test(parse_caller_request, names_the_invalid_field) {
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

Test(parse_caller_request, rejects_body_that_is_not_a_json_object) {
  for (const char* body : {"", "[]", "{", "\xff\xfe", "null", "7"}) {
    const auto request = ParseCallerRequest(CompletionApi::kChat, body);
    cr_assert(DetailOf(request.status()).id == ErrorId::kMalformedRequest);
  }
}

Test(problem_response, has_code_outcome_step_peer_and_retry_after) {
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
  const ServerResponse response = ProblemResponse(problem);
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
