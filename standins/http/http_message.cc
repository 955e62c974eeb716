#include "http/http_message.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace meadowthread::standins {
namespace {

bool EqualsName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 412:
      return "Precondition Failed";
    case 413:
      return "Content Too Large";
    case 428:
      return "Precondition Required";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Other";
  }
}

}  // namespace

std::string_view Request::HeaderValue(std::string_view name) const {
  for (const Header& header : this->headers) {
    if (EqualsName(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

std::string_view Request::QueryValue(std::string_view name) const {
  for (const QueryParameter& parameter : this->query) {
    if (parameter.name == name) {
      return parameter.value;
    }
  }
  return {};
}

std::int64_t Request::QueryNumber(std::string_view name,
                                  std::int64_t fallback) const {
  const std::string_view text = this->QueryValue(name);
  std::int64_t number = fallback;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() ? number : fallback;
}

bool Request::PathIs(std::initializer_list<std::string_view> parts) const {
  return std::equal(this->segments.begin(), this->segments.end(), parts.begin(),
                    parts.end());
}

Reply JsonReply(int status, const nlohmann::json& body) {
  Reply reply;
  reply.status = status;
  // Invalid UTF-8 is replaced; by default dump() would throw.
  reply.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return reply;
}

Reply ErrorReply(int status, std::string_view reason,
                 std::string_view message) {
  return JsonReply(status, {{"reason", reason}, {"message", message}});
}

std::string FormatHead(const Reply& reply) {
  const std::string_view phrase = ReasonPhrase(reply.status);
  std::string head =
      absl::StrCat("HTTP/1.1 ", reply.status, " ",
                   absl::string_view(phrase.data(), phrase.size()), "\r\n");
  if (!reply.content_type.empty()) {
    absl::StrAppend(&head, "Content-Type: ", reply.content_type, "\r\n");
  }
  for (const Header& header : reply.headers) {
    absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
  }
  return head;
}

}  // namespace meadowthread::standins
