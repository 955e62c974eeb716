#ifndef MEADOWTHREAD_STANDINS_HTTP_HTTP_MESSAGE_H_
#define MEADOWTHREAD_STANDINS_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief One header; names compare without case.
struct Header {
  std::string name;
  std::string value;
};

/// @brief One parameter of a query.
struct QueryParameter {
  std::string name;
  std::string value;
};

/// @brief A whole request, already read.
struct Request {
  std::string method;
  std::string path;                   ///< as sent, percent-encoded
  std::vector<std::string> segments;  ///< the path's parts, decoded
  std::vector<QueryParameter> query;
  std::string raw_query;  ///< as sent, without the question mark
  std::vector<Header> headers;
  std::string body;

  /// @brief A header's value, empty where it is missing.
  std::string_view HeaderValue(std::string_view name) const;

  /// @brief A query parameter's value, empty where it is missing.
  std::string_view QueryValue(std::string_view name) const;

  /// @brief A numeric query parameter, or `fallback`.
  std::int64_t QueryNumber(std::string_view name, std::int64_t fallback) const;

  /// @brief Whether the path has just these segments.
  bool PathIs(std::initializer_list<std::string_view> parts) const;
};

/// @brief A whole answer.
struct Reply {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<Header> headers;
  std::string body;
};

/// @brief An answer with a JSON body.
Reply JsonReply(int status, const nlohmann::json& body);

/// @brief An error answer with the body `{"reason", "message"}`.
Reply ErrorReply(int status, std::string_view reason, std::string_view message);

/// @brief The status line and headers of an answer.
std::string HeadOf(const Reply& reply);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_HTTP_MESSAGE_H_
