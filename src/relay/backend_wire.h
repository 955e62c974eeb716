#ifndef MEADOWTHREAD_RELAY_BACKEND_WIRE_H_
#define MEADOWTHREAD_RELAY_BACKEND_WIRE_H_

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
#include "relay/relay_request.h"

namespace meadowthread {

/// @brief What a backend server's answer says about the request.
enum class AnswerMeaning {
  kRan,            ///< it is the server's own answer
  kNotRun,         ///< the server says that it did not run it
  kOtherInstance,  ///< another server has the address; it did not run it
  kUnsigned,       ///< a success that no backend server vouches for
};

/// @brief Whether the server itself says that it did not run the request.
constexpr bool IsRejection(AnswerMeaning meaning) {
  return meaning == AnswerMeaning::kNotRun ||
         meaning == AnswerMeaning::kOtherInstance;
}

/// @brief A run's memory that a request goes on with.
struct Continuation {
  std::string source;  ///< IP:PORT of the engine that made the copy
  std::string handle;
  std::int64_t last_event = 0;  ///< the caller has everything up to it
  std::string source_key =
      {};  ///< see Backend; no other start knows the handle
};

/// @brief How one attempt is sent.
struct SendTerms {
  std::string address;   ///< IP:PORT
  std::string instance;  ///< the backend server's id: no other may run it
  std::string workspace;
  int urgency = 0;
  bool tells_urgency = false;
  std::int64_t left_ms = 0;  ///< until the request's deadline
  std::optional<Continuation> continuation;
  bool may_resume = false;  ///< the caller's own wish to go on is passed on
};

/// @brief The wire between this host and backend servers.
class BackendWire {
 public:
  virtual ~BackendWire() = default;

  /// @brief The request as the backend server gets it; sent once.
  virtual HttpRequest RequestFor(const RelayRequest& request,
                                 const SendTerms& terms) const = 0;

  /// @brief Reads an answer's head.
  virtual AnswerMeaning Read(int http_status,
                             std::span<const HttpHeader> headers) const = 0;
};

/// @brief The wire between callers and this host.
class CallerWire {
 public:
  virtual ~CallerWire() = default;

  /// @brief The request as the relay sees it, or kMalformedRequest.
  virtual absl::StatusOr<RelayRequest> Read(
      const ServerRequest& request) const = 0;

  /// @brief The answer of a request that the host refuses or gave up on.
  virtual WholeResponse Answer(const Problem& problem) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_BACKEND_WIRE_H_
