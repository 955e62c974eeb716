#include "forwarding/forward_protocol.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/absl_view.h"
#include "net/http_headers.h"

namespace meadowthread {
namespace {

constexpr std::string_view kFrom = "Meadowthread-Forward-From";
constexpr std::string_view kKey = "Meadowthread-Forward-Key";
constexpr std::string_view kServer = "Meadowthread-Forward-Server";
constexpr std::string_view kConnectMs = "Meadowthread-Forward-Connect-Ms";
constexpr std::string_view kEcho = "Meadowthread-Forward-Echo";
constexpr std::string_view kResult = "Meadowthread-Forward-Result";
constexpr std::string_view kRefusal = "Meadowthread-Forward-Refusal";
constexpr std::array<std::string_view, 5> kOrderHeaders = {kFrom, kKey, kServer,
                                                           kConnectMs, kEcho};
constexpr std::string_view kScheme = "http://";
constexpr std::int64_t kMaxConnectMs = 10'000;

struct NamedResult {
  ForwardResult result;
  std::string_view name;
};
constexpr std::array<NamedResult, 5> kResults = {{
    {ForwardResult::kAnswer, "answer"},
    {ForwardResult::kAnswerByClose, "answer-by-close"},
    {ForwardResult::kNotSent, "not-sent"},
    {ForwardResult::kNotTaken, "not-taken"},
    {ForwardResult::kLost, "lost"},
}};

struct NamedRefusal {
  ForwardRefusal why;
  std::string_view name;
};
constexpr std::array<NamedRefusal, 4> kRefusals = {{
    {ForwardRefusal::kPathLost, "path-lost"},
    {ForwardRefusal::kServerUnreachable, "server-unreachable"},
    {ForwardRefusal::kFull, "full"},
    {ForwardRefusal::kOther, "other"},
}};

bool IsOrderHeader(std::string_view name) {
  return std::any_of(
      kOrderHeaders.begin(), kOrderHeaders.end(),
      [name](std::string_view one) { return SameHeader(one, name); });
}

std::string_view TargetOf(std::string_view url) {
  const std::size_t at = url.find('/', kScheme.size());
  return at == std::string_view::npos ? "/" : url.substr(at);
}

}  // namespace

HttpRequest EncodeForward(const HttpRequest& attempt, const ForwardPeer& peer,
                          const ForwardOrder& order) {
  HttpRequest http = attempt;
  http.url = absl::StrCat(AbslView(kScheme), peer.address, ":", peer.port,
                          AbslView(TargetOf(attempt.url)));
  // A caller's own headers of these names would be read as the order.
  std::erase_if(http.headers,
                [](const HttpHeader& one) { return IsOrderHeader(one.name); });
  const auto add = [&http](std::string_view name, std::string_view value) {
    if (!value.empty()) {
      http.headers.push_back({std::string(name), std::string(value)});
    }
  };
  add(kFrom, order.from);
  add(kKey, order.key);
  add(kServer, order.server);
  add(kConnectMs, absl::StrCat(order.connect_timeout_ms));
  add(kEcho, order.echo);
  return http;
}

std::optional<ForwardOrder> ForwardOrderOf(const ServerRequest& request) {
  ForwardOrder order;
  order.from = std::string(FindHeader(request.headers, kFrom));
  order.key = std::string(FindHeader(request.headers, kKey));
  order.server = std::string(FindHeader(request.headers, kServer));
  order.echo = std::string(FindHeader(request.headers, kEcho));
  const bool has_time =
      absl::SimpleAtoi(AbslView(FindHeader(request.headers, kConnectMs)),
                       &order.connect_timeout_ms) &&
      order.connect_timeout_ms > 0 && order.connect_timeout_ms <= kMaxConnectMs;
  if (order.key.empty() || order.server.empty() || !has_time) {
    return std::nullopt;
  }
  return order;
}

// The client adds a Host header of its own where the attempt has none.
HttpRequest DecodeForward(const ServerRequest& request,
                          const ForwardOrder& order,
                          std::string_view own_authority) {
  HttpRequest http;
  http.method = request.method;
  http.url = absl::StrCat(AbslView(kScheme), order.server, request.target);
  http.headers = EndToEndHeaders(request.headers);
  std::erase_if(http.headers, [own_authority](const HttpHeader& one) {
    return IsOrderHeader(one.name) ||
           (SameHeader(one.name, "Host") && one.value == own_authority);
  });
  http.body = request.body;
  http.connect_timeout_ms = order.connect_timeout_ms;
  http.send_once = true;
  http.reuse_idle_ms = 0;
  if (!order.echo.empty()) {
    http.response_echo = {order.echo,
                          std::string(FindHeader(request.headers, order.echo))};
  }
  return http;
}

HttpHeader HeaderOf(ForwardResult result) {
  const auto found = std::find_if(
      kResults.begin(), kResults.end(),
      [result](const NamedResult& one) { return one.result == result; });
  return {std::string(kResult), std::string(found->name)};
}

std::optional<ForwardResult> ForwardResultOf(
    std::span<const HttpHeader> headers) {
  const std::string_view name = FindHeader(headers, kResult);
  for (const NamedResult& one : kResults) {
    if (one.name == name) {
      return one.result;
    }
  }
  return std::nullopt;
}

std::string_view ForwardRefusalName(ForwardRefusal why) {
  const auto found =
      std::find_if(kRefusals.begin(), kRefusals.end(),
                   [why](const NamedRefusal& one) { return one.why == why; });
  return found->name;
}

HttpHeader HeaderOf(ForwardRefusal why) {
  return {std::string(kRefusal), std::string(ForwardRefusalName(why))};
}

ForwardRefusal ForwardRefusalOf(std::span<const HttpHeader> headers) {
  const std::string_view name = FindHeader(headers, kRefusal);
  for (const NamedRefusal& one : kRefusals) {
    if (one.name == name) {
      return one.why;
    }
  }
  return ForwardRefusal::kOther;
}

std::vector<HttpHeader> WithoutResult(std::span<const HttpHeader> headers) {
  std::vector<HttpHeader> rest(headers.begin(), headers.end());
  std::erase_if(rest, [](const HttpHeader& one) {
    return SameHeader(one.name, kResult) || SameHeader(one.name, kRefusal);
  });
  return rest;
}

bool IsSameKey(std::string_view one, std::string_view other) {
  if (one.size() != other.size() || one.empty()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t at = 0; at < one.size(); ++at) {
    difference |= static_cast<unsigned char>(one[at]) ^
                  static_cast<unsigned char>(other[at]);
  }
  return difference == 0;
}

}  // namespace meadowthread
