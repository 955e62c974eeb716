#include "base/ip_and_port.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace meadowthread {
namespace {

bool IsNumberOf(int family, std::string_view text) {
  const std::string terminated(text);
  std::array<unsigned char, sizeof(in6_addr)> address = {};
  // inet_pton stops at a zero byte and would ignore the rest of the text.
  return text.find('\0') == std::string_view::npos &&
         inet_pton(family, terminated.c_str(), address.data()) == 1;
}

bool IsPort(std::string_view text) {
  std::int64_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  return error == std::errc() && rest == end && port > 0 &&
         port <= kMaxPortNumber;
}

}  // namespace

bool IsIpAddress(std::string_view text) {
  return IsNumberOf(AF_INET, text) || IsNumberOf(AF_INET6, text);
}

bool IsIpAndPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  const std::string_view host = text.substr(0, colon);
  const bool has_brackets =
      host.size() > 2 && host.starts_with('[') && host.ends_with(']');
  return has_brackets ? IsNumberOf(AF_INET6, host.substr(1, host.size() - 2))
                      : IsNumberOf(AF_INET, host);
}

}  // namespace meadowthread
