#ifndef MEADOWTHREAD_GATEWAY_COMPLETION_FORMATTER_H_
#define MEADOWTHREAD_GATEWAY_COMPLETION_FORMATTER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "answer/resume_token.h"

namespace meadowthread {

/// @brief Fields that are the same in every chunk of an answer.
struct CompletionMetadata {
  CompletionApi api = CompletionApi::kChat;
  std::string request;
  std::string model;
  std::int64_t created_unix_s = 0;
};

/// @brief Token counts reported to the caller for billing.
struct TokenUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
};

/// @brief Formats an answer as the JSON and server-sent events that callers of
/// the completion APIs expect.
///
/// The constant parts of a token's event are built once, since AppendToken is
/// on the hot path.
class CompletionFormatter {
 public:
  explicit CompletionFormatter(const CompletionMetadata& metadata);

  /// @brief Appends one token as a server-sent event.
  /// @param[in] index index of the token, written as the event's id
  void AppendToken(std::int64_t index, std::string_view text,
                   std::string& out) const;

  /// @brief Appends the final events, ending with `data: [DONE]`.
  void AppendEnd(std::string_view finish_reason, const TokenUsage& usage,
                 std::string& out) const;

  /// @brief Appends an error as the last event.
  /// @param[in] problem_json the problem document that describes the error
  static void AppendError(std::string_view problem_json, std::string& out);

  /// @brief Formats the answer as one JSON document.
  std::string FormatJson(std::string_view text, std::string_view finish_reason,
                         const TokenUsage& usage) const;

 private:
  CompletionMetadata metadata;
  std::string token_prefix;
  std::string token_suffix;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_COMPLETION_FORMATTER_H_
