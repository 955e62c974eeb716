#ifndef MEADOWTHREAD_TESTS_SOAK_SENT_REQUEST_H_
#define MEADOWTHREAD_TESTS_SOAK_SENT_REQUEST_H_

#include <set>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace meadowthread::soak {

/// @brief Kinds of requests.
enum class RequestKind {
  kStream,  ///< a generation that is streamed
  kNotRepeatable,
  kRepeatable,
};

/// @brief One request of a caller. No two have the same id or length.
struct SentRequest {
  std::string id;
  RequestKind kind = RequestKind::kRepeatable;
  int length = 0;  ///< events or tokens of its answer
  int host = 0;
  bool by_link = false;  ///< over its host's link, which faults may break
  bool on_used_connection = false;
  bool while_stopping = false;  ///< sent after its host was told to stop
};

/// @brief What a caller got for one request.
struct Answer {
  int status = 0;  ///< 0: no head came
  std::vector<HttpHeader> headers;
  std::string body;
  bool whole = false;      ///< HTTP says that it is complete
  bool malformed = false;  ///< its bytes are no answer
  bool left = false;       ///< the caller went away
};

/// @brief What an answer shows of its request.
enum class Outcome {
  kComplete,   ///< the right answer, complete
  kNotRun,     ///< a statement that it has not run
  kUnknown,    ///< a refusal without that statement
  kTruncated,  ///< the beginning of the right answer
  kForeign,    ///< something else
  kKeyRefused,
};

/// @brief What back ends saw of one request.
struct Runs {
  int first = 0;                  ///< runs that were no resumption
  std::set<std::string> engines;  ///< on which it ran
};

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_SENT_REQUEST_H_
