#ifndef MEADOWTHREAD_GATEWAY_CALLER_REQUEST_H_
#define MEADOWTHREAD_GATEWAY_CALLER_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "answer/resume_token.h"

namespace meadowthread {

/// @brief A generation as its caller asks for it.
struct CallerRequest {
  CompletionApi form = CompletionApi::kChat;
  std::string model;
  std::string prompt;           ///< messages of a chat are joined, one a line
  std::int64_t max_tokens = 0;  ///< 0: not given
  bool stream = false;
};

/// @brief Reads a body of `POST /v1/chat/completions` or `/v1/completions`.
/// @return the request, or an error naming the field
absl::StatusOr<CallerRequest> ParseCallerRequest(CompletionApi form,
                                                 std::string_view body);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_CALLER_REQUEST_H_
