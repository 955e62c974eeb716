#ifndef MEADOWTHREAD_GATEWAY_ANSWER_FORMAT_H_
#define MEADOWTHREAD_GATEWAY_ANSWER_FORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "answer/resume_token.h"

namespace meadowthread {

/// @brief What every piece of one answer carries.
struct AnswerHead {
  CompletionApi form = CompletionApi::kChat;
  std::string request;
  std::string model;
  std::int64_t created_unix_s = 0;
};

/// @brief Counts for the caller's bill.
struct AnswerUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
};

/// @brief Writes one answer in the callers' convention.
///
/// What does not change from token to token is made once: this is the hot path.
class AnswerFormat {
 public:
  explicit AnswerFormat(const AnswerHead& head);

  /// @brief Appends one token as a server-sent event.
  /// @param[in] index the event's id
  void AppendToken(std::int64_t index, std::string_view text,
                   std::string& out) const;

  /// @brief Appends the closing events, `data: [DONE]` last.
  void AppendEnd(std::string_view finish_reason, const AnswerUsage& usage,
                 std::string& out) const;

  /// @brief Appends an error as the terminal event.
  static void AppendProblem(std::string_view problem_json, std::string& out);

  /// @brief The answer as one JSON document.
  std::string Whole(std::string_view text, std::string_view finish_reason,
                    const AnswerUsage& usage) const;

 private:
  AnswerHead head;
  std::string token_prefix;
  std::string token_suffix;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_ANSWER_FORMAT_H_
