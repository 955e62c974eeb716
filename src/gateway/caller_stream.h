#ifndef MEADOWTHREAD_GATEWAY_CALLER_STREAM_H_
#define MEADOWTHREAD_GATEWAY_CALLER_STREAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "engine/engine_messages.h"
#include "gateway/answer_format.h"
#include "net/problem.h"
#include "net/response_writer.h"

namespace meadowthread {

/// @brief How tokens reach the caller.
enum class DeliveryMode {
  kStreamed,       ///< each as it comes
  kStreamedWhole,  ///< as events, but only once the whole answer is there
  kJson,           ///< one JSON document
};

/// @brief Bounds towards one caller.
struct CallerLimits {
  std::int64_t slow_caller_bytes = std::int64_t{1024} * 1024;
  std::int64_t whole_answer_bytes = std::int64_t{8} * 1024 * 1024;
};

/// @brief Gives one answer to its caller.
class CallerStream {
 public:
  CallerStream(std::unique_ptr<ResponseWriter> writer, const AnswerHead& head,
               DeliveryMode mode, const CallerLimits& bounds);

  /////////////////////
  // Giving the answer
  /////////////////////

  /// @brief The token with which any host can go on with this answer.
  void SetResumeToken(std::string token);

  /// @brief Takes the next tokens, in order.
  /// @return false where a held answer passes its bound
  bool Deliver(std::span<const TokenEvent> tokens);

  /// @brief The answer is whole.
  void Complete(std::string_view finish_reason, const AnswerUsage& usage);

  /// @brief The answer ends early; the problem is its terminal event.
  void Fail(const absl::Status& status, bool safe_to_repeat);

  /// @brief Keeps an idle connection open.
  void KeepAlive();

  /// @brief Cuts the connection without a terminal event, so that the caller
  /// comes back with its resume token.
  void Cut();

  /// @brief Forgets held tokens: another generation takes the place of one of
  /// which nothing was delivered.
  void DropHeld();

  ////////////////////
  // What is known
  ////////////////////

  /// @brief Tokens that left towards the caller.
  std::int64_t Delivered() const { return this->delivered; }

  /// @brief Whether a second generation could still take this one's place.
  /// Not once the caller holds a token that leads to the first.
  bool MayStartOver() const {
    return this->delivered == 0 && !this->token_told;
  }

  /// @brief Whether the caller could come back to another host.
  bool CanResume() const;

  bool IsGone() const { return this->writer->IsClosed(); }

  /// @brief Whether more is unread than the bound allows.
  bool IsSlow() const;

  /// @brief The answer's text so far, kept only where it is held or `keep`.
  const std::string& Text() const { return this->text; }
  void KeepText(std::int64_t limit_bytes) { this->keep_bytes = limit_bytes; }
  bool TextIsWhole() const { return !this->text_cut; }

  void OnGone(std::function<void()> told) {
    this->writer->OnClosed(std::move(told));
  }
  void OnDrained(std::function<void()> told) {
    this->writer->OnDrained(std::move(told));
  }

 private:
  void SendHead();
  void SendTokens(std::span<const TokenEvent> tokens);
  void KeepTextOf(std::span<const TokenEvent> tokens);

  std::unique_ptr<ResponseWriter> writer;
  AnswerHead head;
  AnswerFormat format;
  DeliveryMode mode;
  CallerLimits bounds;
  std::string resume_token;
  std::string text;
  std::string scratch;
  std::vector<TokenEvent> held;
  std::int64_t held_bytes = 0;
  std::int64_t keep_bytes = 0;
  std::int64_t delivered = 0;
  bool head_sent = false;
  bool token_told = false;
  bool text_cut = false;
  bool ended = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_CALLER_STREAM_H_
