#ifndef MEADOWTHREAD_GATEWAY_CALLER_STREAM_H_
#define MEADOWTHREAD_GATEWAY_CALLER_STREAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "engine/engine_messages.h"
#include "gateway/completion_formatter.h"
#include "net/problem.h"
#include "net/response_writer.h"

namespace meadowthread {

/// @brief How tokens are delivered to the caller.
enum class DeliveryMode {
  kStreamed,        ///< each token as soon as it arrives
  kBufferedStream,  ///< as events, all sent once the answer is complete
  kJson,            ///< one JSON document
};

/// @brief Memory limits for the answer to one caller.
struct DeliveryLimits {
  /// Unread output above which a caller counts as slow.
  std::int64_t slow_caller_bytes = std::int64_t{1024} * 1024;
  /// Longest answer that is buffered until it is complete.
  std::int64_t whole_answer_bytes = std::int64_t{8} * 1024 * 1024;
};

/// @brief Writes one answer to its caller, streamed or as a whole.
class CallerStream {
 public:
  CallerStream(std::unique_ptr<ResponseWriter> writer,
               const CompletionMetadata& metadata, DeliveryMode mode,
               const DeliveryLimits& limits);

  /////////////////////
  // Writing the answer
  /////////////////////

  /// @brief Sets the token with which the caller can resume this answer at any
  /// host.
  void SetResumeToken(std::string token);

  /// @brief Sends or buffers the next tokens, which must be in order.
  /// @return false if a buffered answer exceeds its size limit
  bool Deliver(std::span<const TokenEvent> tokens);

  /// @brief Ends the answer regularly.
  void Complete(std::string_view finish_reason, const TokenUsage& usage);

  /// @brief Ends the answer with an error: as the last event of a started
  /// stream, otherwise as the whole response.
  void Fail(const absl::Status& status, bool safe_to_repeat);

  /// @brief Sends an SSE comment that keeps an idle connection open.
  void KeepAlive();

  /// @brief Closes the connection without a final event, so that the caller
  /// reconnects with its resume token.
  void Disconnect();

  /// @brief Discards buffered tokens before a new generation replaces one of
  /// which nothing was delivered.
  void DiscardHeldTokens();

  ////////////////////
  // State
  ////////////////////

  /// @brief Number of tokens sent to the caller.
  std::int64_t Delivered() const { return this->delivered; }

  /// @brief Whether a new generation may still replace the current one: nothing
  /// was delivered, and the caller has no resume token for the current one.
  bool MayStartOver() const {
    return this->delivered == 0 && !this->resume_token_sent;
  }

  /// @brief Whether the caller can resume the answer at another host.
  bool CanResume() const;

  bool IsGone() const { return this->writer->IsClosed(); }

  /// @brief Whether the unread output exceeds `slow_caller_bytes`.
  bool IsSlow() const;

  /// @brief The answer's text so far. Only kept with DeliveryMode::kJson or
  /// after KeepText().
  const std::string& Text() const { return this->text; }
  /// @brief Keeps the text of the answer up to the given size.
  void KeepText(std::int64_t limit_bytes) {
    this->kept_text_limit_bytes = limit_bytes;
  }
  bool TextIsWhole() const { return !this->text_truncated; }

  void OnGone(std::function<void()> callback) {
    this->writer->OnClosed(std::move(callback));
  }
  void OnDrained(std::function<void()> callback) {
    this->writer->OnDrained(std::move(callback));
  }

 private:
  void SendHeaders();
  void SendTokens(std::span<const TokenEvent> tokens);
  void AppendText(std::span<const TokenEvent> tokens);

  std::unique_ptr<ResponseWriter> writer;
  CompletionMetadata metadata;
  CompletionFormatter format;
  DeliveryMode mode;
  DeliveryLimits limits;
  std::string resume_token;
  std::string text;
  std::string buffer;
  std::vector<TokenEvent> held;
  std::int64_t held_bytes = 0;
  std::int64_t kept_text_limit_bytes = 0;
  std::int64_t delivered = 0;
  bool headers_sent = false;
  bool resume_token_sent = false;
  bool text_truncated = false;
  bool ended = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_CALLER_STREAM_H_
