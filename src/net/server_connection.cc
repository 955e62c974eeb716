#include "net/server_connection.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "net/http_code.h"
#include "net/http_headers.h"
#include "net/problem.h"

namespace meadowthread::detail {
namespace {

constexpr int kVersion11 = 11;
// Most bytes of pipelined requests that are read before the current response
// ends; reading is then paused and TCP flow control stops the client.
constexpr std::size_t kReadAheadBytes = std::size_t{64} * 1024;
// After the client's kernel has the last response, further bytes from the
// client are discarded for this long, as a reset could make it lose data that
// it has not read.
constexpr std::int64_t kLingerMs = 1'000;
// A client whose kernel acknowledges nothing for this long is considered gone:
// its host lost power or network. Shorter than any generation deadline, longer
// than short network interruptions.
constexpr std::int64_t kDeadClientMs = 6'000;
// Longest time for which a client may take no data while its kernel still
// answers probes; as long as a stream waits for its client.
constexpr std::int64_t kMaxStallMs = 60'000;
// Retry-After for a request that was rejected because this host had no memory
// for its body.
constexpr std::int64_t kNoMemoryRetryMs = 500;

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view QueryOf(std::string_view target) {
  const std::size_t at = target.find('?');
  return at == std::string_view::npos ? std::string_view{}
                                      : target.substr(at + 1);
}

// Bytes that the peer has not acknowledged. If the kernel doesn't report its
// queue, what it has accepted counts as delivered.
std::int64_t UndeliveredBytes(const SocketBacklog& left) {
  return left.unsent + std::max<std::int64_t>(0, left.unacknowledged);
}

std::size_t CountHostHeaders(const MessageHead& head) {
  return static_cast<std::size_t>(std::count_if(
      head.headers.begin(), head.headers.end(), [](const HttpHeader& header) {
        return SameHeader(header.name, "Host");
      }));
}

}  // namespace

/// @brief Why a request is rejected.
struct ServerConnection::Rejection {
  ErrorId id = ErrorId::kMalformedRequest;
  std::string what;
  std::int64_t retry_after_ms = -1;
};

ServerConnection::ServerConnection(ServerContext& context,
                                   std::unique_ptr<StreamSocket> socket)
    : context(context),
      socket(std::move(socket)),
      reader(MessageKind::kRequest,
             static_cast<std::size_t>(context.Limits().max_header_bytes)),
      peer(this->socket->Peer()),
      idle_since_ms(context.NowMs()) {}

ServerConnection::~ServerConnection() {
  this->context.ReleaseBytes(this->reserved_bytes);
}

void ServerConnection::Begin() { this->socket->SetHandler(this); }

/////////////////////////
// Reading a request
/////////////////////////

void ServerConnection::OnBytes(std::string_view bytes) {
  if (this->phase == Phase::kClosing || this->phase == Phase::kClosed) {
    return;
  }
  const auto self = this->shared_from_this();
  if (this->begun_ms < 0) {
    this->begun_ms = this->context.NowMs();
  }
  this->ApplyHeadLimit();
  const ReadState state = this->reader.Feed(bytes);
  if (this->phase == Phase::kReading) {
    this->ProcessRequests(state);
  } else if (this->reader.RestBytes() > kReadAheadBytes) {
    this->paused = true;
    this->socket->SetPaused(true);
  }
}

// The limits may have changed since the connection was opened.
void ServerConnection::ApplyHeadLimit() {
  this->reader.SetHeadLimit(
      static_cast<std::size_t>(this->context.Limits().max_header_bytes));
}

// Handles pipelined requests in a loop. A request that is answered at once ends
// while it is served, so each would otherwise be served within the one before,
// and the stack would grow with their number.
void ServerConnection::ProcessRequests(ReadState state) {
  const auto self = this->shared_from_this();
  this->is_processing = true;
  this->ProcessInput(state);
  while (this->next_request.has_value() && this->phase == Phase::kReading) {
    this->ProcessInput(*std::exchange(this->next_request, std::nullopt));
  }
  this->next_request.reset();
  this->is_processing = false;
}

void ServerConnection::ProcessInput(ReadState state) {
  if (state == ReadState::kHeadTooLarge) {
    this->Reject({ErrorId::kHeaderTooLarge, this->reader.Problem()});
    return;
  }
  if (state == ReadState::kMalformed) {
    this->Reject({ErrorId::kMalformedRequest, this->reader.Problem()});
    return;
  }
  if (this->reader.Head() != nullptr && !this->head_taken) {
    this->CheckHead();
  }
  if (this->phase == Phase::kReading && this->head_taken) {
    this->CheckBodySize();
  }
  if (this->phase == Phase::kReading && state == ReadState::kWhole) {
    this->Serve();
  }
}

void ServerConnection::CheckHead() {
  this->head_taken = true;
  const MessageHead& head = *this->reader.Head();
  this->is_http_1_0 = head.version < kVersion11;
  this->is_head_request = head.method == "HEAD";
  this->close_after = !head.keep_alive;
  const std::size_t hosts = CountHostHeaders(head);
  if (hosts > 1 || (hosts == 0 && !this->is_http_1_0)) {
    this->Reject({ErrorId::kMalformedRequest,
                  "the request must have exactly one Host header"});
    return;
  }
  // The other forms of a request target are for proxies; to its clients this is
  // an origin server.
  if (!head.target.starts_with('/')) {
    this->Reject(
        {ErrorId::kMalformedRequest, "the request target is not a path"});
    return;
  }
  const auto limit =
      static_cast<std::uint64_t>(this->context.Limits().max_body_bytes);
  if (head.content_length.value_or(0) > limit) {
    this->Reject({ErrorId::kBodyTooLarge, "the body is longer than its limit"});
    return;
  }
  const bool has_body = head.chunked || head.content_length.value_or(0) > 0;
  if (has_body && !this->is_http_1_0 &&
      ContainsToken(FindHeader(head.headers, "Expect"), "100-continue")) {
    this->socket->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::CheckBodySize() {
  const std::string piece = this->reader.TakeBody();
  if (piece.empty()) {
    return;
  }
  this->ReserveBody();
  this->body.append(piece);
  const auto size = static_cast<std::int64_t>(this->body.size());
  if (size > this->context.Limits().max_body_bytes) {
    this->Reject({ErrorId::kBodyTooLarge, "the body is longer than its limit"});
    return;
  }
  const auto more = static_cast<std::int64_t>(piece.size());
  if (!this->context.ReserveBytes(more)) {
    this->Reject({ErrorId::kHostNotReady, "too many unfinished requests",
                  kNoMemoryRetryMs});
    return;
  }
  this->reserved_bytes += more;
}

// A string that grows step by step takes up to twice its size, and three times
// while it grows.
void ServerConnection::ReserveBody() {
  const std::uint64_t length = this->reader.Head()->content_length.value_or(0);
  const auto limit =
      static_cast<std::uint64_t>(this->context.Limits().max_body_bytes);
  if (this->body.empty() && length <= limit) {
    this->body.reserve(static_cast<std::size_t>(length));
  }
}

void ServerConnection::Serve() {
  const MessageHead& head = *this->reader.Head();
  ServerRequest request;
  request.method = head.method;
  request.target = head.target;
  request.path = std::string(PathOf(head.target));
  request.query = std::string(QueryOf(head.target));
  request.headers = head.headers;
  request.body = std::exchange(this->body, {});
  request.peer = this->peer;
  request.begun_ms = this->begun_ms;
  this->request_id.clear();
  this->phase = Phase::kResponding;
  this->context.Service().Serve(
      request, std::make_unique<ResponseWriter>(this->weak_from_this()));
}

// Rejects the request without passing it to the service, so the outcome is
// kNotRun.
void ServerConnection::Reject(const Rejection& rejection) {
  LogLine line("request-refused");
  line.Add("peer", this->peer)
      .Add("code", static_cast<int>(rejection.id))
      .Add("why", rejection.what)
      .WriteImportant();
  this->phase = Phase::kResponding;
  this->close_after = true;
  ErrorDetail detail;
  detail.id = rejection.id;
  detail.outcome = Outcome::kNotRun;
  detail.step = "read-request";
  detail.peer = this->peer;
  detail.retry_after_ms = rejection.retry_after_ms;
  Problem problem;
  problem.status =
      MakeError(absl::StatusCode::kInvalidArgument, detail, rejection.what);
  ResponseWriter(this->weak_from_this()).SendWhole(ProblemResponse(problem));
}

///////////////////////
// Writing the response
///////////////////////

bool ServerConnection::SendsBody(int http_status) const {
  return !this->is_head_request && http_status >= http_code::kFirstFinal &&
         http_status != http_code::kNoContent &&
         http_status != http_code::kNotModified;
}

bool ServerConnection::SendHead(const ResponseHead& head) {
  const bool has_body = this->SendsBody(head.http_status);
  this->length_known = head.content_length.has_value();
  // HTTP/1.0 has no chunked encoding: the end of the connection marks the end
  // of the body.
  this->ends_by_close = has_body && !this->length_known && this->is_http_1_0;
  const bool chunked = has_body && !this->length_known && !this->ends_by_close;
  this->close_after =
      this->close_after || this->ends_by_close || this->context.IsClosing();
  std::string text = absl::StrCat("HTTP/1.1 ", head.http_status, " ");
  text.append(ReasonPhrase(head.http_status)).append("\r\n");
  AppendHeaders(head.headers, &text);
  if (this->length_known && head.http_status != http_code::kNoContent) {
    absl::StrAppend(&text, "Content-Length: ", *head.content_length, "\r\n");
  } else if (chunked) {
    text.append("Transfer-Encoding: chunked\r\n");
  }
  if (this->close_after) {
    text.append("Connection: close\r\n");
  } else if (this->is_http_1_0) {
    text.append("Connection: keep-alive\r\n");
  }
  text.append("\r\n");
  this->Send(text);
  return chunked;
}

void ServerConnection::Send(std::string_view bytes) {
  if (this->phase == Phase::kResponding) {
    this->socket->Write(bytes);
  }
}

void ServerConnection::EndResponse() {
  if (this->phase != Phase::kResponding) {
    return;
  }
  this->on_closed = nullptr;
  this->on_drained = nullptr;
  this->context.ReleaseBytes(std::exchange(this->reserved_bytes, 0));
  if (this->close_after || this->context.IsClosing()) {
    this->CloseAfterResponse();
    return;
  }
  this->ReadNextRequest();
}

void ServerConnection::ReadNextRequest() {
  this->phase = Phase::kReading;
  this->head_taken = false;
  this->body.clear();
  this->idle_since_ms = this->context.NowMs();
  const bool more = this->reader.RestBytes() > 0;
  this->begun_ms = more ? this->idle_since_ms : -1;
  if (this->paused) {
    this->paused = false;
    this->socket->SetPaused(false);
  }
  this->ApplyHeadLimit();
  const ReadState state = this->reader.Next();
  if (more && this->is_processing) {
    this->next_request = state;
  } else if (more) {
    this->ProcessRequests(state);
  }
}

void ServerConnection::CloseAfterResponse() {
  this->phase = Phase::kClosing;
  this->progress_ms = this->context.NowMs();
  this->all_delivered = false;
  this->socket->SetPaused(false);
  this->socket->CloseWhenDrained();
}

////////////////////////
// Ending the connection
////////////////////////

// If the response is chunked or has a length, closing in order already shows
// the client that it is incomplete, and the client can still read what was
// sent; a reset would discard that.
void ServerConnection::EndIncomplete() {
  if (this->phase != Phase::kResponding) {
    return;
  }
  this->on_closed = nullptr;
  this->on_drained = nullptr;
  if (this->ends_by_close) {
    this->Abort("answer_broken_off");
    return;
  }
  this->CloseAfterResponse();
}

void ServerConnection::Abort(std::string_view why) {
  if (this->phase != Phase::kClosed) {
    this->LogInterruptedResponse(why);
    this->socket->Abort();
    this->End();
  }
}

// A connection that already waits for its next request may still hold
// undelivered bytes of a response.
void ServerConnection::LogInterruptedResponse(std::string_view why) const {
  const SocketBacklog left = this->socket->Backlog();
  if (this->phase != Phase::kResponding && UndeliveredBytes(left) == 0) {
    if (left.unread > 0) {
      LogLine("request-unread")
          .Add("peer", this->peer)
          .Add("why", why)
          .Add("unread", left.unread)
          .WriteImportant();
    }
    return;
  }
  this->context.CountInterruptedResponse();
  LogLine("answer-cut")
      .Add("request", this->request_id)
      .Add("peer", this->peer)
      .Add("why", why)
      .Add("written", this->phase == Phase::kResponding ? "in_part" : "whole")
      .Add("unsent", left.unsent)
      .Add("unacknowledged", left.unacknowledged)
      .Add("unread", left.unread)
      .Add("silent_ms", left.silent_ms)
      .WriteImportant();
}

// A client that has shut down sending may still read. While its request is
// being handled, the shutdown is taken as a disconnect, because nothing else
// signals that a client has left.
bool ServerConnection::OnFinished() {
  return this->phase != Phase::kResponding && this->PendingBytes() > 0;
}

void ServerConnection::OnEnded(SocketEnd /*end*/) { this->End(); }

void ServerConnection::End() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  const auto self = this->shared_from_this();
  this->phase = Phase::kClosed;
  this->on_drained = nullptr;
  const std::function<void()> told = std::exchange(this->on_closed, nullptr);
  this->context.RemoveConnection(this);
  if (told) {
    told();
  }
}

void ServerConnection::OnDrained() {
  if (this->on_drained) {
    // Copied because the callback may end the response, which resets
    // `on_drained`.
    const std::function<void()> told = this->on_drained;
    told();
  }
}

std::int64_t ServerConnection::PendingBytes() const {
  return this->phase == Phase::kClosed ? 0 : this->socket->PendingBytes();
}

void ServerConnection::SetOnClosed(std::function<void()> told) {
  if (this->phase == Phase::kResponding) {
    this->on_closed = std::move(told);
  }
}

void ServerConnection::SetOnDrained(std::function<void()> told) {
  if (this->phase == Phase::kResponding) {
    this->on_drained = std::move(told);
  }
}

// A request that is already in the kernel's receive buffer is still served.
void ServerConnection::CloseIfIdle() {
  if (this->phase == Phase::kReading && this->begun_ms < 0 &&
      this->socket->Backlog().unread <= 0) {
    this->CloseAfterResponse();
  }
}

// Returns for how long the client has acknowledged none of the undelivered
// bytes, or for how long everything has been delivered. A single acknowledged
// byte counts as progress, so a client may read slowly. New writes by the
// server don't count.
std::int64_t ServerConnection::StalledMs(std::int64_t now_ms,
                                         const SocketBacklog& left) {
  const bool all_delivered = UndeliveredBytes(left) == 0;
  const std::int64_t acknowledged =
      this->socket->SentBytes() -
      std::max<std::int64_t>(0, left.unacknowledged);
  if (all_delivered != this->all_delivered ||
      acknowledged != this->acknowledged) {
    this->all_delivered = all_delivered;
    this->acknowledged = acknowledged;
    this->progress_ms = now_ms;
  }
  return now_ms - this->progress_ms;
}

bool ServerConnection::IsClientGone(std::int64_t stalled_ms,
                                    const SocketBacklog& left) {
  const bool answers_probes =
      left.silent_ms >= 0 && left.silent_ms <= kDeadClientMs;
  return UndeliveredBytes(left) > 0 &&
         stalled_ms > (answers_probes ? kMaxStallMs : kDeadClientMs);
}

// An idle connection whose responses are all delivered needs no query of the
// kernel.
void ServerConnection::CheckDelivery(std::int64_t now_ms) {
  if (this->phase == Phase::kReading && this->all_delivered &&
      this->socket->SentBytes() == this->acknowledged) {
    return;
  }
  const SocketBacklog left = this->socket->Backlog();
  const std::int64_t stalled_ms = this->StalledMs(now_ms, left);
  if (IsClientGone(stalled_ms, left)) {
    this->Abort("caller_takes_nothing");
  } else if (this->phase == Phase::kClosing && UndeliveredBytes(left) == 0 &&
             stalled_ms > kLingerMs) {
    this->socket->CloseNow();
    this->End();
  }
}

bool ServerConnection::HasUndelivered() const {
  switch (this->phase) {
    case Phase::kReading: {
      const SocketBacklog left = this->socket->Backlog();
      return this->begun_ms >= 0 || left.unread > 0 ||
             UndeliveredBytes(left) > 0;
    }
    case Phase::kResponding:
    case Phase::kClosing:
      return true;
    case Phase::kClosed:
      return false;
  }
  return false;
}

void ServerConnection::CloseForShutdown() {
  const bool looks_whole =
      this->ends_by_close &&
      (this->phase == Phase::kResponding || this->socket->PendingBytes() > 0);
  if (looks_whole) {
    this->Abort("process_ends");
    return;
  }
  if (this->phase != Phase::kClosed) {
    this->LogInterruptedResponse("process_ends");
    this->socket->CloseNow();
    this->End();
  }
}

void ServerConnection::CheckTimeouts(std::int64_t now_ms) {
  const auto self = this->shared_from_this();
  const ServerLimits& limits = this->context.Limits();
  if (this->phase != Phase::kClosed) {
    this->CheckDelivery(now_ms);
  }
  if (this->phase != Phase::kReading) {
    return;
  }
  if (this->begun_ms < 0) {
    if (now_ms - this->idle_since_ms > limits.idle_timeout_ms) {
      this->CloseIfIdle();
    }
    return;
  }
  const std::int64_t limit =
      this->head_taken ? limits.body_timeout_ms : limits.header_timeout_ms;
  if (now_ms - this->begun_ms > limit) {
    this->Reject({ErrorId::kBodyTimeout,
                  "the request was not received completely in time"});
  }
}

}  // namespace meadowthread::detail
