#ifndef MEADOWTHREAD_RELAY_BACKEND_PROTOCOL_H_
#define MEADOWTHREAD_RELAY_BACKEND_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/problem.h"
#include "policy/named_rate.h"
#include "policy/server_notice.h"
#include "relay/relay_request.h"

namespace meadowthread {

/// @brief What a backend server's answer says about the request.
enum class AnswerMeaning {
  kRan,            ///< the server ran the request; this is its answer
  kNotRun,         ///< the server states that it did not run the request
  kOtherInstance,  ///< another server now has the address; it did not run the
                   ///< request
  kUnsigned,       ///< a success without proof that a backend server sent it
};

/// @brief Whether the server states that it did not run the request.
constexpr bool IsRejection(AnswerMeaning meaning) {
  return meaning == AnswerMeaning::kNotRun ||
         meaning == AnswerMeaning::kOtherInstance;
}

/// @brief A copied KV cache from which a run is continued.
struct Continuation {
  std::string source;  ///< IP:PORT of the engine that made the copy
  std::string handle;
  /// Number of the last event that the caller has received.
  std::int64_t last_event = 0;
  std::string source_key = {};  ///< Backend::key of the source; the handle is
                                ///< unknown to its other starts
};

/// @brief How one attempt is sent.
struct SendTerms {
  std::string address;   ///< IP:PORT
  std::string instance;  ///< id of the only backend server that may run it
  std::string workspace;
  int urgency = 0;
  bool tells_urgency = false;
  std::int64_t left_ms = 0;  ///< time until the request's deadline
  std::optional<Continuation> continuation;
  bool may_resume = false;  ///< forward the caller's request to resume a stream
};

/// @brief Protocol between this host and backend servers.
class BackendProtocol {
 public:
  virtual ~BackendProtocol() = default;

  /// @brief The request in the form sent to the backend server, for one
  /// attempt.
  virtual HttpRequest RequestFor(const RelayRequest& request,
                                 const SendTerms& terms) const = 0;

  /// @brief Interprets the status and headers of an answer.
  virtual AnswerMeaning Read(int http_status,
                             std::span<const HttpHeader> headers) const = 0;

  /// @brief What the headers of an answer say about the rate of requests that
  /// the server takes.
  virtual NamedRate RateIn(std::span<const HttpHeader> headers) const = 0;

  /// @brief What the headers of an answer say about the rate of rejections that
  /// the server bears.
  virtual NamedRate BrittleRateIn(
      std::span<const HttpHeader> headers) const = 0;

  /// @brief What an answer says about the requests to come.
  virtual ServerNotice NoticeIn(int http_status,
                                std::span<const HttpHeader> headers) const = 0;
};

/// @brief Protocol between callers and this host.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// @brief Parses a caller's request; kMalformedRequest if it is invalid.
  virtual absl::StatusOr<RelayRequest> Read(
      const ServerRequest& request) const = 0;

  /// @brief The response for a request that the host refuses or gives up on.
  virtual ServerResponse Answer(const Problem& problem) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_BACKEND_PROTOCOL_H_
