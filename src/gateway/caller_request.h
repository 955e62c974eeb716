#ifndef MEADOWTHREAD_GATEWAY_CALLER_REQUEST_H_
#define MEADOWTHREAD_GATEWAY_CALLER_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "answer/resume_token.h"

namespace meadowthread {

/// @brief A caller's parsed generation request.
struct CallerRequest {
  CompletionApi api = CompletionApi::kChat;
  std::string model;
  std::string prompt;           ///< chat messages are joined, one per line
  std::int64_t max_tokens = 0;  ///< 0: not given
  bool stream = false;
};

/// @brief Parses the body of `POST /v1/chat/completions` or `/v1/completions`.
/// @return the request, or an error that names the invalid field
absl::StatusOr<CallerRequest> ParseCallerRequest(CompletionApi api,
                                                 std::string_view body);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_CALLER_REQUEST_H_
