#include "gateway/caller_stream.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "net/http_code.h"

namespace meadowthread {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kKeepAliveComment = ": keep-alive\n\n";

}  // namespace

CallerStream::CallerStream(std::unique_ptr<ResponseWriter> writer,
                           const CompletionMetadata& metadata,
                           DeliveryMode mode, const DeliveryLimits& limits)
    : writer(std::move(writer)),
      metadata(metadata),
      format(metadata),
      mode(mode),
      limits(limits) {}

// Buffered answers get no resume token: until such an answer is complete,
// nothing of it is delivered, and a new generation may replace the current one.
// A resume token would rule that out, as it belongs to one generation.
void CallerStream::SetResumeToken(std::string token) {
  if (this->mode != DeliveryMode::kStreamed) {
    return;
  }
  this->resume_token = std::move(token);
  this->resume_token_sent = false;
}

bool CallerStream::CanResume() const {
  return this->resume_token_sent && !this->ended;
}

// The response headers are sent with the first token, so that they can carry
// the resume token. If a keep-alive had to be sent earlier, the resume token
// follows in an SSE comment, which clients ignore.
void CallerStream::SendHeaders() {
  if (!this->headers_sent) {
    this->headers_sent = true;
    std::vector<HttpHeader> headers = {
        {"Meadowthread-Request", this->metadata.request}};
    if (!this->resume_token.empty()) {
      headers.push_back({"Meadowthread-Resume-Token", this->resume_token});
      this->resume_token_sent = true;
    }
    this->writer->StartStream(http_code::kOk, kEventStream, headers);
    return;
  }
  if (!this->resume_token_sent && !this->resume_token.empty()) {
    this->resume_token_sent = true;
    this->writer->Write(
        absl::StrCat(": resume-token ", this->resume_token, "\n\n"));
  }
}

bool CallerStream::Deliver(std::span<const TokenEvent> tokens) {
  if (this->ended) {
    return true;
  }
  this->AppendText(tokens);
  if (this->mode == DeliveryMode::kStreamed) {
    this->SendTokens(tokens);
    return true;
  }
  for (const TokenEvent& token : tokens) {
    this->held_bytes += static_cast<std::int64_t>(token.text.size());
    if (this->mode == DeliveryMode::kBufferedStream) {
      this->held.push_back(token);
    }
  }
  return this->held_bytes <= this->limits.whole_answer_bytes;
}

void CallerStream::AppendText(std::span<const TokenEvent> tokens) {
  const std::int64_t limit = this->mode == DeliveryMode::kJson
                                 ? this->limits.whole_answer_bytes
                                 : this->kept_text_limit_bytes;
  for (const TokenEvent& token : tokens) {
    const auto size =
        static_cast<std::int64_t>(this->text.size() + token.text.size());
    this->text_truncated = this->text_truncated || size > limit;
    if (!this->text_truncated) {
      this->text += token.text;
    }
  }
}

void CallerStream::SendTokens(std::span<const TokenEvent> tokens) {
  if (tokens.empty()) {
    return;
  }
  this->SendHeaders();
  this->buffer.clear();
  for (const TokenEvent& token : tokens) {
    this->format.AppendToken(token.index, token.text, this->buffer);
  }
  this->delivered += static_cast<std::int64_t>(tokens.size());
  this->writer->Write(this->buffer);
}

void CallerStream::Complete(std::string_view finish_reason,
                            const TokenUsage& usage) {
  if (this->ended) {
    return;
  }
  if (this->mode == DeliveryMode::kJson) {
    this->ended = true;
    ServerResponse response;
    response.headers = {{"Meadowthread-Request", this->metadata.request}};
    response.body = this->format.FormatJson(this->text, finish_reason, usage);
    this->writer->SendWhole(response);
    return;
  }
  this->SendTokens(this->held);
  this->held.clear();
  this->SendHeaders();
  this->buffer.clear();
  this->format.AppendEnd(finish_reason, usage, this->buffer);
  this->writer->Write(this->buffer);
  this->writer->FinishStream();
  this->ended = true;
}

void CallerStream::Fail(const absl::Status& status, bool safe_to_repeat) {
  if (this->ended) {
    return;
  }
  this->ended = true;
  Problem problem;
  problem.status = status;
  problem.request = this->metadata.request;
  problem.safe_to_repeat = safe_to_repeat;
  if (!this->headers_sent) {
    const bool interrupted = DetailOf(status).outcome == Outcome::kInterrupted;
    problem.tokens_delivered = interrupted ? this->delivered : -1;
    this->writer->SendWhole(ProblemResponse(problem));
    return;
  }
  problem.tokens_delivered = this->delivered;
  this->buffer.clear();
  CompletionFormatter::AppendError(ProblemJson(problem), this->buffer);
  this->writer->Write(this->buffer);
  this->writer->FinishStream();
}

void CallerStream::KeepAlive() {
  if (this->ended || this->mode == DeliveryMode::kJson) {
    return;
  }
  this->SendHeaders();
  this->writer->Write(kKeepAliveComment);
}

void CallerStream::Disconnect() {
  this->ended = true;
  this->writer->Abort();
}

void CallerStream::DiscardHeldTokens() {
  this->held.clear();
  this->held_bytes = 0;
  this->text.clear();
  this->text_truncated = false;
}

bool CallerStream::IsSlow() const {
  return this->writer->PendingBytes() > this->limits.slow_caller_bytes;
}

}  // namespace meadowthread
