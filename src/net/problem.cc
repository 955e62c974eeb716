#include "net/problem.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::int64_t kMsPerSecond = 1000;

// Error type by which clients of the OpenAI-style API classify errors.
std::string_view TypeOf(int http_status) {
  switch (http_status) {
    case 401:
    case 403:
      return "authentication_error";
    case 404:
      return "not_found_error";
    case 429:
      return "rate_limit_error";
    default:
      return http_status < 500 ? "invalid_request_error" : "server_error";
  }
}

std::string TitleOf(ErrorId id) {
  return absl::StrCat("meadowthread error ", static_cast<int>(id));
}

}  // namespace

int HttpStatusOf(ErrorId id) {
  switch (id) {
    case ErrorId::kMalformedRequest:
    case ErrorId::kFieldMissing:
    case ErrorId::kFieldInvalid:
    case ErrorId::kIdempotencyKeyMissing:
      return 400;
    case ErrorId::kUnknownKey:
      return 401;
    case ErrorId::kResumeTokenInvalid:
      return 403;
    case ErrorId::kUnknownModel:
    case ErrorId::kNotFound:
      return 404;
    case ErrorId::kBodyTimeout:
      return 408;
    case ErrorId::kClaimHeld:
    case ErrorId::kIdempotencyKeyExpired:
      return 409;
    case ErrorId::kResumeTokenExpired:
    case ErrorId::kGenerationLost:
      return 410;
    case ErrorId::kBodyTooLarge:
      return 413;
    case ErrorId::kOwnedElsewhere:
    case ErrorId::kOutsideAllowedRegions:
      return 421;
    case ErrorId::kIdempotencyKeyReused:
      return 422;
    case ErrorId::kOverloaded:
    case ErrorId::kWorkspaceLimit:
      return 429;
    case ErrorId::kHeaderTooLarge:
      return 431;
    case ErrorId::kConnectionLost:
    case ErrorId::kPeerMalformed:
      return 502;
    case ErrorId::kDeadlinePassed:
    case ErrorId::kPeerTimeout:
      return 504;
    case ErrorId::kInternal:
      return 500;
    default:
      return 503;
  }
}

std::string ProblemJson(const Problem& problem) {
  const ErrorDetail detail = DetailOf(problem.status);
  const int http_status = HttpStatusOf(detail.id);
  const std::string message(problem.status.message());
  json body = {{"type", absl::StrCat("urn:meadowthread:error:",
                                     static_cast<int>(detail.id))},
               {"title", TitleOf(detail.id)},
               {"status", http_status},
               {"detail", message},
               {"code", static_cast<int>(detail.id)},
               {"outcome", std::string(OutcomeName(detail.outcome))},
               {"step", detail.step},
               {"peer", detail.peer},
               {"request", problem.request},
               {"error",
                {{"message", message},
                 {"type", std::string(TypeOf(http_status))},
                 {"code", std::to_string(static_cast<int>(detail.id))}}}};
  if (!detail.field.empty()) {
    body["field"] = detail.field;
    body["error"]["param"] = detail.field;
  }
  if (detail.retry_after_ms >= 0) {
    body["retry_after_ms"] = detail.retry_after_ms;
  }
  if (problem.tokens_delivered >= 0) {
    body["tokens_delivered"] = problem.tokens_delivered;
    body["safe_to_repeat"] = problem.safe_to_repeat;
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

ServerResponse ProblemResponse(const Problem& problem) {
  const ErrorDetail detail = DetailOf(problem.status);
  ServerResponse response;
  response.http_status = HttpStatusOf(detail.id);
  response.content_type = "application/problem+json";
  response.body = ProblemJson(problem);
  if (!problem.request.empty()) {
    response.headers.push_back({"Meadowthread-Request", problem.request});
  }
  if (detail.retry_after_ms >= 0) {
    const std::int64_t seconds = std::max<std::int64_t>(
        1, (detail.retry_after_ms + kMsPerSecond - 1) / kMsPerSecond);
    response.headers.push_back({"Retry-After", absl::StrCat(seconds)});
  }
  // Client libraries of this API retry failed requests automatically. This
  // header tells them not to retry a request that may have run.
  if (detail.outcome == Outcome::kUnknown ||
      detail.outcome == Outcome::kInterrupted) {
    response.headers.push_back({"X-Should-Retry", "false"});
  }
  return response;
}

}  // namespace meadowthread
