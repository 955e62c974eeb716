#ifndef MEADOWTHREAD_RELAY_DETAIL_CALL_ATTEMPT_H_
#define MEADOWTHREAD_RELAY_DETAIL_CALL_ATTEMPT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "relay/call_session.h"

namespace meadowthread {
namespace detail {

// Limit on an answer's body, which is held in the host's memory as a whole.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t{8} * 1024 * 1024;

}  // namespace detail

/// @brief One attempt of the call at one backend server.
class CallSession::Attempt final : public HttpHandler {
 public:
  Attempt(CallSession& session, const Backend& backend)
      : session(session),
        backend(backend.key),
        sent_ms(session.deps.clock.MonotonicMs()),
        body(session.deps.answer_memory,
             [this] { this->EndUnread(kNoMemoryText, false); }) {}

  ~Attempt() override { this->Cancel(); }
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  void Start(const HttpRequest& http) {
    this->call = this->session.deps.client.Start(http, this);
  }

  /// @brief Ends the attempt without a result.
  void Cancel() {
    this->body.Clear();
    if (this->call != 0) {
      this->session.deps.client.Cancel(std::exchange(this->call, 0));
    }
  }

  void OnHead(int http_status, std::span<const HttpHeader> headers) override {
    this->answer.http_status = http_status;
    this->answer.headers.assign(headers.begin(), headers.end());
    const AnswerMeaning meaning =
        this->session.deps.wire.Read(http_status, headers);
    NoteAnswerHead(this->session.deps, {this->backend, this->sent_ms,
                                        http_status, meaning, headers});
  }

  void OnData(std::string_view data) override {
    switch (this->body.Append(data, detail::kMaxAnswerBytes)) {
      case AppendResult::kAppended:
        return;
      case AppendResult::kTooLong:
        this->EndUnread("the answer's body exceeds the size limit", true);
        return;
      case AppendResult::kNoMemory:
        this->EndUnread(kNoMemoryText, false);
        return;
    }
  }

  void OnEnd(const HttpCallResult& ended) override {
    this->call = 0;
    this->end = ended;
    this->answer.body = this->body.Take();
    this->session.OnAttemptEnd(*this);
  }

  const std::string& BackendId() const { return this->backend; }
  std::int64_t SentMs() const { return this->sent_ms; }
  const HttpCallResult& Ended() const { return this->end; }
  HttpResponse& Answer() { return this->answer; }

 private:
  static constexpr std::string_view kNoMemoryText =
      "the host has no memory for the answer";

  // The answer can't be forwarded in part, so the rest would only use memory.
  void EndUnread(std::string_view why, bool exceeded_limit) {
    this->Cancel();
    ErrorDetail detail;
    detail.id = ErrorId::kPeerMalformed;
    detail.step = "read-answer";
    detail.peer = this->backend;
    this->end.status = MakeError(absl::StatusCode::kUnavailable, detail, why);
    this->end.request_may_have_left = true;
    this->end.exceeded_limit = exceeded_limit;
    this->session.OnAttemptEnd(*this);
  }

  CallSession& session;
  std::string backend;
  std::int64_t sent_ms;
  HttpCallId call = 0;
  HttpCallResult end;
  HttpResponse answer;
  HeldAnswer body;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_DETAIL_CALL_ATTEMPT_H_
