#include "placement/order_messages.h"

#include "absl/strings/numbers.h"
#include "base/absl_view.h"
#include "base/error.h"
#include "base/json_fields.h"
#include "net/http_code.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::string_view kStep = "order";
constexpr std::int64_t kMsPerSecond = 1000;

absl::Status OrderError(ErrorId id, std::string_view engine,
                        std::string_view message) {
  ErrorDetail error;
  error.id = id;
  error.step = std::string(kStep);
  error.peer = std::string(engine);
  return MakeError(absl::StatusCode::kFailedPrecondition, error, message);
}

OrderResult NoAnswerResult(const HttpCallResult& end) {
  OrderResult result;
  result.outcome = end.request_may_have_left ? OrderOutcome::kUnknown
                                             : OrderOutcome::kNotSent;
  result.status = end.status;
  return result;
}

OrderResult ReadAccepted(const json& body, std::string_view engine) {
  OrderResult result;
  if (BoolOr(body, "applied", false)) {
    result.outcome = OrderOutcome::kApplied;
    return result;
  }
  result.status = OrderError(ErrorId::kPeerMalformed, engine,
                             "the answer to the order lacks 'applied': true");
  return result;
}

std::int64_t RetryAfterMs(const HttpResponse& response) {
  const std::string_view text = FindHeader(response.headers, "Retry-After");
  std::int64_t seconds = 0;
  const bool is_number = absl::SimpleAtoi(AbslView(text), &seconds);
  return is_number && seconds >= 0 ? seconds * kMsPerSecond : -1;
}

}  // namespace

std::string_view OrderOutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kApplied:
      return "applied";
    case OrderOutcome::kStaleFence:
      return "stale_fence";
    case OrderOutcome::kSuperseded:
      return "superseded";
    case OrderOutcome::kDeadlinePassed:
      return "deadline_passed";
    case OrderOutcome::kThrottled:
      return "throttled";
    case OrderOutcome::kRejected:
      return "rejected";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string EncodeOrder(const OrderMessage& order) {
  json models = json::array();
  for (const ServedModel& model : order.desired.models) {
    models.push_back({{"model", model.model},
                      {"adapter", model.adapter},
                      {"version", model.version}});
  }
  const json body = {
      {"holder", order.holder},
      {"fence", order.fence},
      {"deadline_unix_ms", order.deadline_unix_ms},
      {"desired", {{"role", order.desired.role}, {"models", models}}}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

OrderResult ReadOrderAnswer(const FetchResult& fetched,
                            std::string_view engine) {
  if (!fetched.end.status.ok()) {
    return NoAnswerResult(fetched.end);
  }
  const HttpResponse& response = fetched.response;
  const int status = response.http_status;
  const json body = json::parse(response.body, nullptr, false);
  if (status == http_code::kOk) {
    return ReadAccepted(body, engine);
  }
  OrderResult result;
  result.status = OrderError(ErrorId::kRejectedByPeer, engine,
                             "the engine refused the order");
  if (status == http_code::kConflict) {
    result.outcome = OrderOutcome::kStaleFence;
    result.peer_fence = IntOr(body, "fence", 0);
    result.status = OrderError(ErrorId::kOrderStale, engine,
                               "the order's fence is older than the engine's");
  } else if (status == http_code::kGone) {
    result.outcome = OrderOutcome::kDeadlinePassed;
  } else if (status == http_code::kTooManyRequests ||
             status == http_code::kUnavailable) {
    result.outcome = OrderOutcome::kThrottled;
    result.retry_after_ms = RetryAfterMs(response);
  } else if (status >= http_code::kFirstClientError &&
             status < http_code::kFirstServerError) {
    result.outcome = OrderOutcome::kRejected;
  }
  return result;
}

}  // namespace meadowthread
