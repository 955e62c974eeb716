#include "base/error.h"

#include <optional>

#include "absl/strings/cord.h"
#include "base/absl_view.h"
#include "base/error_json.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

constexpr char kPayloadUrl[] = "meadowthread/error-detail";

using nlohmann::json;

// The payload is JSON so that it stays readable in the output of
// Status::ToString.
std::string Encode(const ErrorDetail& detail) {
  return ErrorDetailJson(detail).dump(-1, ' ', false,
                                      json::error_handler_t::replace);
}

ErrorDetail Decode(const std::string& text) {
  ErrorDetail detail;
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return detail;
  }
  detail.id = static_cast<ErrorId>(value.value("id", 0));
  detail.outcome = static_cast<Outcome>(value.value("outcome", 0));
  detail.step = value.value("step", "");
  detail.peer = value.value("peer", "");
  detail.field = value.value("field", "");
  detail.retry_after_ms = value.value("retry_after_ms", std::int64_t{-1});
  return detail;
}

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNone:
      return "none";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kInterrupted:
      return "interrupted";
  }
  return "none";
}

absl::Status MakeError(absl::StatusCode code, const ErrorDetail& detail,
                       std::string_view message) {
  absl::Status status(code, AbslView(message));
  status.SetPayload(kPayloadUrl, absl::Cord(Encode(detail)));
  return status;
}

ErrorDetail DetailOf(const absl::Status& status) {
  const absl::optional<absl::Cord> payload = status.GetPayload(kPayloadUrl);
  if (!payload.has_value()) {
    return ErrorDetail{};
  }
  const std::string text{*payload};
  return Decode(text);
}

absl::Status WithOutcome(const absl::Status& status, Outcome outcome) {
  ErrorDetail detail = DetailOf(status);
  detail.outcome = outcome;
  absl::Status copy = status;
  copy.SetPayload(kPayloadUrl, absl::Cord(Encode(detail)));
  return copy;
}

}  // namespace meadowthread
