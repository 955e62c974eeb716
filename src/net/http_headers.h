#ifndef MEADOWTHREAD_NET_HTTP_HEADERS_H_
#define MEADOWTHREAD_NET_HTTP_HEADERS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_client.h"

namespace meadowthread {

/// @brief Whether two header names are the same.
bool SameHeader(std::string_view left, std::string_view right);

/// @brief The headers that concern more than one connection, in their order;
/// those of the body's framing are left out too.
std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers);

/// @brief Whether a comma-separated header value has the word.
bool HasWord(std::string_view value, std::string_view word);

/// @brief A header line for each of the headers.
void AppendHeaders(std::span<const HttpHeader> headers, std::string* out);

/// @brief The usual words for a status.
std::string_view ReasonPhrase(int http_status);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_HTTP_HEADERS_H_
