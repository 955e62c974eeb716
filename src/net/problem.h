#ifndef MEADOWTHREAD_NET_PROBLEM_H_
#define MEADOWTHREAD_NET_PROBLEM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "base/error.h"
#include "net/response_writer.h"

namespace meadowthread {

/// @brief The error response to a request that did not complete.
struct Problem {
  absl::Status status;
  std::string request;
  std::int64_t tokens_delivered = -1;  ///< -1: nothing was streamed
  bool safe_to_repeat = false;
};

/// @brief The HTTP status for an error id.
int HttpStatusOf(ErrorId id);

/// @brief The problem-details object (docs/INTERFACES.md, section 6).
std::string ProblemJson(const Problem& problem);

/// @brief The complete response for a problem, with Retry-After if the error
/// has a retry time.
ServerResponse ProblemResponse(const Problem& problem);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_PROBLEM_H_
