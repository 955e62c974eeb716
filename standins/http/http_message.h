#ifndef MEADOWTHREAD_STANDINS_HTTP_HTTP_MESSAGE_H_
#define MEADOWTHREAD_STANDINS_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief One header; the name is case-insensitive.
struct Header {
  std::string name;
  std::string value;
};

/// @brief One query parameter.
struct QueryParameter {
  std::string name;
  std::string value;
};

/// @brief A complete HTTP request.
struct Request {
  std::string method;
  std::string path;                   ///< as sent, percent-encoded
  std::vector<std::string> segments;  ///< the path's parts, decoded
  std::vector<QueryParameter> query;
  std::string raw_query;  ///< as sent, without the question mark
  std::vector<Header> headers;
  std::string body;

  /// @brief A header's value; empty if it is missing.
  std::string_view HeaderValue(std::string_view name) const;

  /// @brief A query parameter's value; empty if it is missing.
  std::string_view QueryValue(std::string_view name) const;

  /// @brief A numeric query parameter; `fallback` if missing or no number.
  std::int64_t QueryNumber(std::string_view name, std::int64_t fallback) const;

  /// @brief Whether the path consists of exactly these segments.
  bool PathIs(std::initializer_list<std::string_view> parts) const;
};

/// @brief A complete HTTP response.
struct Reply {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<Header> headers;
  std::string body;
};

/// @brief A response with a JSON body.
Reply JsonReply(int status, const nlohmann::json& body);

/// @brief An error response with the body `{"reason", "message"}`.
Reply ErrorReply(int status, std::string_view reason, std::string_view message);

/// @brief The status line and headers of a response.
std::string FormatHead(const Reply& reply);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_HTTP_MESSAGE_H_
