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
                           const AnswerHead& head, DeliveryMode mode,
                           const CallerLimits& bounds)
    : writer(std::move(writer)),
      head(head),
      format(head),
      mode(mode),
      bounds(bounds) {}

// A whole answer is given without one: nothing of it was delivered before its
// end, and a second generation may still take its place.
void CallerStream::SetResumeToken(std::string token) {
  if (this->mode != DeliveryMode::kStreamed) {
    return;
  }
  this->resume_token = std::move(token);
  this->token_told = false;
}

bool CallerStream::CanResume() const {
  return this->token_told && !this->ended;
}

// The head waits for the first token, so that the resume token can stand in it;
// after a keep-alive it is too late and a comment carries the token instead,
// which clients of the convention pass over.
void CallerStream::SendHead() {
  if (!this->head_sent) {
    this->head_sent = true;
    std::vector<HttpHeader> headers = {
        {"Meadowthread-Request", this->head.request}};
    if (!this->resume_token.empty()) {
      headers.push_back({"Meadowthread-Resume-Token", this->resume_token});
      this->token_told = true;
    }
    this->writer->StartStream(http_code::kOk, kEventStream, headers);
    return;
  }
  if (!this->token_told && !this->resume_token.empty()) {
    this->token_told = true;
    this->writer->Write(
        absl::StrCat(": resume-token ", this->resume_token, "\n\n"));
  }
}

bool CallerStream::Deliver(std::span<const TokenEvent> tokens) {
  if (this->ended) {
    return true;
  }
  this->KeepTextOf(tokens);
  if (this->mode == DeliveryMode::kStreamed) {
    this->SendTokens(tokens);
    return true;
  }
  for (const TokenEvent& token : tokens) {
    this->held_bytes += static_cast<std::int64_t>(token.text.size());
    if (this->mode == DeliveryMode::kStreamedWhole) {
      this->held.push_back(token);
    }
  }
  return this->held_bytes <= this->bounds.whole_answer_bytes;
}

void CallerStream::KeepTextOf(std::span<const TokenEvent> tokens) {
  const std::int64_t limit = this->mode == DeliveryMode::kJson
                                 ? this->bounds.whole_answer_bytes
                                 : this->keep_bytes;
  for (const TokenEvent& token : tokens) {
    const auto size =
        static_cast<std::int64_t>(this->text.size() + token.text.size());
    this->text_cut = this->text_cut || size > limit;
    if (!this->text_cut) {
      this->text += token.text;
    }
  }
}

void CallerStream::SendTokens(std::span<const TokenEvent> tokens) {
  if (tokens.empty()) {
    return;
  }
  this->SendHead();
  this->scratch.clear();
  for (const TokenEvent& token : tokens) {
    this->format.AppendToken(token.index, token.text, this->scratch);
  }
  this->delivered += static_cast<std::int64_t>(tokens.size());
  this->writer->Write(this->scratch);
}

void CallerStream::Complete(std::string_view finish_reason,
                            const AnswerUsage& usage) {
  if (this->ended) {
    return;
  }
  if (this->mode == DeliveryMode::kJson) {
    this->ended = true;
    WholeResponse response;
    response.headers = {{"Meadowthread-Request", this->head.request}};
    response.body = this->format.Whole(this->text, finish_reason, usage);
    this->writer->SendWhole(response);
    return;
  }
  this->SendTokens(this->held);
  this->held.clear();
  this->SendHead();
  this->scratch.clear();
  this->format.AppendEnd(finish_reason, usage, this->scratch);
  this->writer->Write(this->scratch);
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
  problem.request = this->head.request;
  problem.safe_to_repeat = safe_to_repeat;
  if (!this->head_sent) {
    const bool interrupted = DetailOf(status).outcome == Outcome::kInterrupted;
    problem.tokens_delivered = interrupted ? this->delivered : -1;
    this->writer->SendWhole(ProblemResponse(problem));
    return;
  }
  problem.tokens_delivered = this->delivered;
  this->scratch.clear();
  AnswerFormat::AppendProblem(ProblemJson(problem), this->scratch);
  this->writer->Write(this->scratch);
  this->writer->FinishStream();
}

void CallerStream::KeepAlive() {
  if (this->ended || this->mode == DeliveryMode::kJson) {
    return;
  }
  this->SendHead();
  this->writer->Write(kKeepAliveComment);
}

void CallerStream::Cut() {
  this->ended = true;
  this->writer->Abort();
}

void CallerStream::DropHeld() {
  this->held.clear();
  this->held_bytes = 0;
  this->text.clear();
  this->text_cut = false;
}

bool CallerStream::IsSlow() const {
  return this->writer->PendingBytes() > this->bounds.slow_caller_bytes;
}

}  // namespace meadowthread
