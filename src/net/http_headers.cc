#include "net/http_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "base/absl_view.h"

namespace meadowthread {
namespace {

// The hop-by-hop headers of RFC 9110, section 7.6.1, and older ones that some
// peers still send. The last two concern the body, which each connection
// transfers in its own way.
constexpr std::array<std::string_view, 11> kConnectionHeaders = {
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Trailer",           "Proxy-Authenticate",
    "Upgrade",    "Transfer-Encoding", "Proxy-Authorization",
    "Expect",     "Content-Length"};

}  // namespace

bool SameHeader(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(AbslView(left), AbslView(right));
}

bool ContainsToken(std::string_view value, std::string_view word) {
  for (const absl::string_view part : absl::StrSplit(AbslView(value), ',')) {
    if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part),
                               AbslView(word))) {
      return true;
    }
  }
  return false;
}

std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers) {
  const std::string_view named = FindHeader(headers, "Connection");
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : headers) {
    const bool own =
        std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                    [&header](std::string_view name) {
                      return SameHeader(header.name, name);
                    });
    if (!own && !ContainsToken(named, header.name)) {
      kept.push_back(header);
    }
  }
  return kept;
}

void AppendHeaders(std::span<const HttpHeader> headers, std::string* out) {
  for (const HttpHeader& header : headers) {
    out->append(header.name).append(": ").append(header.value).append("\r\n");
  }
}

std::string_view ReasonPhrase(int http_status) {
  const auto words = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(http_status)));
  return {words.data(), words.size()};
}

}  // namespace meadowthread
