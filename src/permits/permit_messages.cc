#include "permits/permit_messages.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "base/error.h"
#include "permits/permit_bucket.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::size_t kNewsFields = 4;
constexpr std::size_t kFullFields = 4;
constexpr std::size_t kRequestFields = 4;
constexpr std::size_t kResponseFields = 5;

absl::Status Malformed(std::string_view message) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "read-permit";
  return MakeError(absl::StatusCode::kInvalidArgument, detail, message);
}

bool IsRate(const json& value) {
  if (!value.is_number()) {
    return false;
  }
  const double per_s = value.get<double>();
  return std::isfinite(per_s) && per_s >= 0.0;
}

bool IsCount(const json& value) {
  return value.is_number_integer() &&
         (value.is_number_unsigned() || value.get<std::int64_t>() >= 0);
}

std::int64_t CountUpTo(const json& value, std::int64_t most) {
  return static_cast<std::int64_t>(std::min<std::uint64_t>(
      value.get<std::uint64_t>(), static_cast<std::uint64_t>(most)));
}

std::optional<int> ChoiceOf(const json& value, int choices) {
  if (!IsCount(value) ||
      value.get<std::uint64_t>() >= static_cast<std::uint64_t>(choices)) {
    return std::nullopt;
  }
  return value.get<int>();
}

}  // namespace

RateNews NewsOf(std::string_view server, const RateStatement& statement,
                std::int64_t now_ms) {
  return {std::string(server), statement.per_s,
          std::max<std::int64_t>(0, now_ms - statement.from_ms),
          std::max<std::int64_t>(0, now_ms - statement.until_ms)};
}

RateStatement StatementOf(const RateNews& news, std::int64_t now_ms) {
  return {news.per_s, now_ms - news.from_age_ms, now_ms - news.until_age_ms};
}

json ToJson(const RateNews& news) {
  return json::array(
      {news.server, news.per_s, news.from_age_ms, news.until_age_ms});
}

json ToJson(const PermitRequest& request) {
  return json::array({request.ticket, static_cast<int>(request.urgency),
                      ToJson(request.rate), request.is_call});
}

json ToJson(const CallEnded& ended) {
  return json::array({ended.server, ended.call});
}

json ToJson(const PermitResponse& response) {
  return json::array({response.ticket, static_cast<int>(response.status),
                      response.retry_after_ms, ToJson(response.rate),
                      response.call});
}

json ToJson(const FullNews& news) {
  return json::array(
      {news.server, news.bears_per_s, news.rate_per_s, news.age_ms});
}

absl::StatusOr<FullNews> FullNewsFrom(const json& payload) {
  const bool fits = payload.is_array() && payload.size() == kFullFields &&
                    payload[0].is_string() && IsRate(payload[1]) &&
                    IsRate(payload[2]) && IsCount(payload[3]);
  if (!fits) {
    return Malformed("not news of a full server");
  }
  return FullNews{payload[0].get<std::string>(), payload[1].get<double>(),
                  payload[2].get<double>(),
                  CountUpTo(payload[3], kMaxNewsAgeMs)};
}

absl::StatusOr<CallEnded> CallEndedFrom(const json& payload) {
  if (!payload.is_array() || payload.size() != 2 || !payload[0].is_string() ||
      !IsCount(payload[1])) {
    return Malformed("not the end of a call");
  }
  return CallEnded{payload[0].get<std::string>(),
                   payload[1].get<std::uint64_t>()};
}

absl::StatusOr<RateNews> RateNewsFrom(const json& payload) {
  const bool fits = payload.is_array() && payload.size() == kNewsFields &&
                    payload[0].is_string() && IsRate(payload[1]) &&
                    IsCount(payload[2]) && IsCount(payload[3]);
  if (!fits) {
    return Malformed("not news of a server's rate");
  }
  RateNews news;
  news.server = payload[0].get<std::string>();
  const auto per_s = payload[1].get<double>();
  news.per_s =
      per_s <= 0.0 ? 0.0 : std::clamp(per_s, kMinNamedPerS, kMaxNamedPerS);
  news.from_age_ms = CountUpTo(payload[2], kMaxNewsAgeMs);
  news.until_age_ms =
      std::min(news.from_age_ms, CountUpTo(payload[3], kMaxNewsAgeMs));
  return news;
}

absl::StatusOr<PermitRequest> PermitRequestFrom(const json& payload) {
  if (!payload.is_array() || payload.size() != kRequestFields ||
      !IsCount(payload[0]) || !payload[3].is_boolean()) {
    return Malformed("not a request for a permit");
  }
  const std::optional<int> urgency = ChoiceOf(payload[1], kUrgencyCount);
  absl::StatusOr<RateNews> rate = RateNewsFrom(payload[2]);
  if (!urgency.has_value() || !rate.ok()) {
    return Malformed("not a request for a permit");
  }
  return PermitRequest{payload[0].get<std::uint64_t>(),
                       static_cast<Urgency>(*urgency), *std::move(rate),
                       payload[3].get<bool>()};
}

absl::StatusOr<PermitResponse> PermitResponseFrom(const json& payload) {
  constexpr int kStatuses = 3;
  if (!payload.is_array() || payload.size() != kResponseFields ||
      !IsCount(payload[0]) || !IsCount(payload[2]) || !IsCount(payload[4])) {
    return Malformed("not an answer about a permit");
  }
  const std::optional<int> status = ChoiceOf(payload[1], kStatuses);
  absl::StatusOr<RateNews> rate = RateNewsFrom(payload[3]);
  if (!status.has_value() || !rate.ok()) {
    return Malformed("not an answer about a permit");
  }
  return PermitResponse{payload[0].get<std::uint64_t>(),
                        static_cast<PermitResponse::Status>(*status),
                        CountUpTo(payload[2], kMaxPermitRetryMs),
                        *std::move(rate), payload[4].get<std::uint64_t>()};
}

}  // namespace meadowthread
