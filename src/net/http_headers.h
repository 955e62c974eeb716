#ifndef MEADOWTHREAD_NET_HTTP_HEADERS_H_
#define MEADOWTHREAD_NET_HTTP_HEADERS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_client.h"

namespace meadowthread {

/// @brief Compares two header names without regard to case.
bool SameHeader(std::string_view left, std::string_view right);

/// @brief Returns the end-to-end headers in their order, without hop-by-hop
/// headers and those that frame the body.
std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers);

/// @brief Whether a comma-separated header value contains `word`, ignoring
/// case.
bool ContainsToken(std::string_view value, std::string_view word);

/// @brief Appends one header line per header to `out`.
void AppendHeaders(std::span<const HttpHeader> headers, std::string* out);

/// @brief The standard reason phrase of a status code.
std::string_view ReasonPhrase(int http_status);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_HTTP_HEADERS_H_
