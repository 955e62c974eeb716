#ifndef MEADOWTHREAD_FORWARDING_FORWARD_PROTOCOL_H_
#define MEADOWTHREAD_FORWARDING_FORWARD_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "net/http_client.h"
#include "net/http_server.h"

namespace meadowthread {

/// @brief Another host that may send requests to servers for this one.
struct ForwardPeer {
  std::string name;
  std::string address;  ///< an IP address
  int port = 0;         ///< TCP
  std::string zone;
  std::string key;  ///< secret; only hosts know it, from the store
};

/// @brief An attempt that another host is asked to send to a server.
struct ForwardOrder {
  std::string from;    ///< name of the asking host
  std::string key;     ///< the key of the host that is asked
  std::string server;  ///< IP:PORT
  std::int64_t connect_timeout_ms = 0;
  std::string echo;  ///< name of the header that the answer echoes; empty: none
};

/// @brief What the host that was asked says of the attempt.
enum class ForwardResult {
  kAnswer,         ///< the server's answer follows; its end is the answer's end
  kAnswerByClose,  ///< likewise, and the server ended it by closing
  kNotSent,        ///< nothing was sent to the server: it can't be reached
  kNotTaken,       ///< nothing was sent: this host does not take the order
  kLost,           ///< the server may have run it, and its answer is lost
};

/// @brief Why a host does not take an attempt.
enum class ForwardRefusal {
  kPathLost,  ///< its path to all servers is lost
  /// Its path to this server is lost, or it must not send to it.
  kServerUnreachable,
  kFull,
  kOther,
};

/// @brief The refusal's name in headers and log lines.
std::string_view ForwardRefusalName(ForwardRefusal why);

/// @brief The attempt in the form that is sent to the other host.
HttpRequest EncodeForward(const HttpRequest& attempt, const ForwardPeer& peer,
                          const ForwardOrder& order);

/// @brief The order of a received request; nullopt if it has none or a
/// malformed one.
std::optional<ForwardOrder> ForwardOrderOf(const ServerRequest& request);

/// @brief The attempt to send to the server, as it was before EncodeForward.
/// @param[in] own_authority IP:PORT at which this host received it
HttpRequest DecodeForward(const ServerRequest& request,
                          const ForwardOrder& order,
                          std::string_view own_authority);

/// @brief The header that carries a result.
HttpHeader HeaderOf(ForwardResult result);

/// @brief The result in an answer's headers; nullopt if there is none.
std::optional<ForwardResult> ForwardResultOf(
    std::span<const HttpHeader> headers);

/// @brief The header that carries a refusal.
HttpHeader HeaderOf(ForwardRefusal why);

/// @brief The refusal in an answer's headers; kOther if there is none.
ForwardRefusal ForwardRefusalOf(std::span<const HttpHeader> headers);

/// @brief The headers without those of the result and the refusal.
std::vector<HttpHeader> WithoutResult(std::span<const HttpHeader> headers);

/// @brief Compares two keys in a time that does not depend on where they
/// differ.
bool IsSameKey(std::string_view one, std::string_view other);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_FORWARDING_FORWARD_PROTOCOL_H_
