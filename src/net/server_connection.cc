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
// A caller that sends its next requests before the present answer ends is read
// ahead this far: beyond it, it waits in its own kernel.
constexpr std::size_t kReadAheadBytes = std::size_t{64} * 1024;
// After the caller's kernel has the last answer: what the caller still sends is
// dropped this long, so that a reset doesn't overtake what it has yet to read.
constexpr std::int64_t kLingerMs = 1'000;
// A caller whose kernel acknowledges nothing for this long is gone: its host
// lost power or is cut off. Shorter than any deadline of a generation, longer
// than a link's hiccups.
constexpr std::int64_t kSilentMs = 6'000;
// One that answers probes and takes nothing may rest as long as a stream waits
// for its caller.
constexpr std::int64_t kRestMs = 60'000;
// When a request that this host had no memory for may come back.
constexpr std::int64_t kNoMemoryRetryMs = 500;

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view QueryOf(std::string_view target) {
  const std::size_t at = target.find('?');
  return at == std::string_view::npos ? std::string_view{}
                                      : target.substr(at + 1);
}

// Where the kernel doesn't tell what it holds, that counts as delivered: it
// delivers by itself.
std::int64_t OnTheWay(const SocketBacklog& left) {
  return left.unsent + std::max<std::int64_t>(0, left.unacknowledged);
}

std::size_t HostHeaders(const MessageHead& head) {
  return static_cast<std::size_t>(std::count_if(
      head.headers.begin(), head.headers.end(), [](const HttpHeader& header) {
        return SameHeader(header.name, "Host");
      }));
}

}  // namespace

/// @brief Why a request is not taken.
struct ServerConnection::Refusal {
  ErrorId id = ErrorId::kMalformedRequest;
  std::string what;
  std::int64_t retry_after_ms = -1;
};

ServerConnection::ServerConnection(ConnectionHost& host,
                                   std::unique_ptr<StreamSocket> socket)
    : host(host),
      socket(std::move(socket)),
      reader(MessageKind::kRequest,
             static_cast<std::size_t>(host.Limits().max_header_bytes)),
      peer(this->socket->Peer()),
      resting_ms(host.NowMs()) {}

ServerConnection::~ServerConnection() { this->host.Release(this->held); }

void ServerConnection::Begin() { this->socket->SetHandler(this); }

/////////////////////////
// Reading a request
/////////////////////////

void ServerConnection::OnBytes(std::string_view bytes) {
  if (this->phase == Phase::kEnding || this->phase == Phase::kOver) {
    return;
  }
  const auto self = this->shared_from_this();
  if (this->begun_ms < 0) {
    this->begun_ms = this->host.NowMs();
  }
  const ReadState state = this->reader.Feed(bytes);
  if (this->phase == Phase::kReading) {
    this->Take(state);
  } else if (this->reader.RestBytes() > kReadAheadBytes) {
    this->paused = true;
    this->socket->SetPaused(true);
  }
}

void ServerConnection::Take(ReadState state) {
  if (state == ReadState::kHeadTooLarge) {
    this->Refuse({ErrorId::kHeaderTooLarge, this->reader.Problem()});
    return;
  }
  if (state == ReadState::kMalformed) {
    this->Refuse({ErrorId::kMalformedRequest, this->reader.Problem()});
    return;
  }
  if (this->reader.Head() != nullptr && !this->head_taken) {
    this->TakeHead();
  }
  if (this->phase == Phase::kReading && this->head_taken) {
    this->CheckBodySize();
  }
  if (this->phase == Phase::kReading && state == ReadState::kWhole) {
    this->Serve();
  }
}

void ServerConnection::TakeHead() {
  this->head_taken = true;
  const MessageHead& head = *this->reader.Head();
  this->is_old_version = head.version < kVersion11;
  this->is_head_request = head.method == "HEAD";
  this->close_after = !head.keep_alive;
  const std::size_t hosts = HostHeaders(head);
  if (hosts > 1 || (hosts == 0 && !this->is_old_version)) {
    this->Refuse({ErrorId::kMalformedRequest, "not exactly one Host header"});
    return;
  }
  // The other forms of a target are for proxies, which this is not to callers.
  if (!head.target.starts_with('/')) {
    this->Refuse({ErrorId::kMalformedRequest, "the target is no path"});
    return;
  }
  const auto limit =
      static_cast<std::uint64_t>(this->host.Limits().max_body_bytes);
  if (head.content_length.value_or(0) > limit) {
    this->Refuse({ErrorId::kBodyTooLarge, "the body is longer than its limit"});
    return;
  }
  const bool has_body = head.chunked || head.content_length.value_or(0) > 0;
  if (has_body && !this->is_old_version &&
      HasWord(FindHeader(head.headers, "Expect"), "100-continue")) {
    this->socket->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::CheckBodySize() {
  const std::string piece = this->reader.TakeBody();
  if (piece.empty()) {
    return;
  }
  this->body.append(piece);
  const auto size = static_cast<std::int64_t>(this->body.size());
  if (size > this->host.Limits().max_body_bytes) {
    this->Refuse({ErrorId::kBodyTooLarge, "the body is longer than its limit"});
    return;
  }
  const auto more = static_cast<std::int64_t>(piece.size());
  if (!this->host.Hold(more)) {
    this->Refuse({ErrorId::kHostNotReady, "too many unfinished requests",
                  kNoMemoryRetryMs});
    return;
  }
  this->held += more;
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
  this->answer_name.clear();
  this->phase = Phase::kAnswering;
  this->host.Service().Serve(
      request, std::make_unique<ResponseWriter>(this->weak_from_this()));
}

// The request is not handed on, so that it certainly did not run.
void ServerConnection::Refuse(const Refusal& refusal) {
  LogLine line("request-refused");
  line.Add("peer", this->peer)
      .Add("code", static_cast<int>(refusal.id))
      .Add("why", refusal.what)
      .WriteImportant();
  this->phase = Phase::kAnswering;
  this->close_after = true;
  ErrorDetail detail;
  detail.id = refusal.id;
  detail.outcome = Outcome::kNotRun;
  detail.step = "read-request";
  detail.peer = this->peer;
  detail.retry_after_ms = refusal.retry_after_ms;
  Problem problem;
  problem.status =
      MakeError(absl::StatusCode::kInvalidArgument, detail, refusal.what);
  ResponseWriter(this->weak_from_this()).SendWhole(ProblemResponse(problem));
}

///////////////////////
// Writing its answer
///////////////////////

bool ServerConnection::SendsBody(int http_status) const {
  return !this->is_head_request && http_status >= http_code::kFirstFinal &&
         http_status != http_code::kNoContent &&
         http_status != http_code::kNotModified;
}

bool ServerConnection::SendHead(const ResponseHead& head) {
  const bool has_body = this->SendsBody(head.http_status);
  this->length_known = head.content_length.has_value();
  // A caller of the older version is told a body's end by the connection's.
  this->ends_by_close = has_body && !this->length_known && this->is_old_version;
  const bool chunked = has_body && !this->length_known && !this->ends_by_close;
  this->close_after =
      this->close_after || this->ends_by_close || this->host.IsClosing();
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
  } else if (this->is_old_version) {
    text.append("Connection: keep-alive\r\n");
  }
  text.append("\r\n");
  this->Send(text);
  return chunked;
}

void ServerConnection::Send(std::string_view bytes) {
  if (this->phase == Phase::kAnswering) {
    this->socket->Write(bytes);
  }
}

void ServerConnection::AnswerDone() {
  if (this->phase != Phase::kAnswering) {
    return;
  }
  this->closed_told = nullptr;
  this->drained_told = nullptr;
  this->host.Release(std::exchange(this->held, 0));
  if (this->close_after || this->host.IsClosing()) {
    this->CloseAfterAnswer();
    return;
  }
  this->ReadNext();
}

void ServerConnection::ReadNext() {
  this->phase = Phase::kReading;
  this->head_taken = false;
  this->body.clear();
  this->resting_ms = this->host.NowMs();
  const bool more = this->reader.RestBytes() > 0;
  this->begun_ms = more ? this->resting_ms : -1;
  if (this->paused) {
    this->paused = false;
    this->socket->SetPaused(false);
  }
  const ReadState state = this->reader.Next();
  if (more) {
    this->Take(state);
  }
}

void ServerConnection::CloseAfterAnswer() {
  this->phase = Phase::kEnding;
  this->progress_ms = this->host.NowMs();
  this->has_all = false;
  this->socket->SetPaused(false);
  this->socket->CloseWhenDrained();
}

/////////////
// Its end
/////////////

// A framed answer can't look whole without its end, and the caller keeps what
// was sent: a reset would throw away what it has not read yet.
void ServerConnection::BreakOff() {
  if (this->phase != Phase::kAnswering) {
    return;
  }
  this->closed_told = nullptr;
  this->drained_told = nullptr;
  if (this->ends_by_close) {
    this->Abort("answer_broken_off");
    return;
  }
  this->CloseAfterAnswer();
}

void ServerConnection::Abort(std::string_view why) {
  if (this->phase != Phase::kOver) {
    this->LogCut(why);
    this->socket->Abort();
    this->End();
  }
}

// Also a connection that already waits for its next request may hold an answer.
void ServerConnection::LogCut(std::string_view why) const {
  const SocketBacklog left = this->socket->Backlog();
  if (this->phase != Phase::kAnswering && OnTheWay(left) == 0) {
    if (left.unread > 0) {
      LogLine("request-unread")
          .Add("peer", this->peer)
          .Add("why", why)
          .Add("unread", left.unread)
          .WriteImportant();
    }
    return;
  }
  this->host.NoteCut();
  LogLine("answer-cut")
      .Add("request", this->answer_name)
      .Add("peer", this->peer)
      .Add("why", why)
      .Add("written", this->phase == Phase::kAnswering ? "in_part" : "whole")
      .Add("unsent", left.unsent)
      .Add("unacknowledged", left.unacknowledged)
      .Add("unread", left.unread)
      .Add("silent_ms", left.silent_ms)
      .WriteImportant();
}

// A caller that has finished sending may read on. While its answer is still
// being made that is taken for leaving: nothing else tells of a caller who
// left.
bool ServerConnection::OnFinished() {
  return this->phase != Phase::kAnswering && this->PendingBytes() > 0;
}

void ServerConnection::OnEnded(SocketEnd /*end*/) { this->End(); }

void ServerConnection::End() {
  if (this->phase == Phase::kOver) {
    return;
  }
  const auto self = this->shared_from_this();
  this->phase = Phase::kOver;
  this->drained_told = nullptr;
  const std::function<void()> told = std::exchange(this->closed_told, nullptr);
  this->host.Forget(this);
  if (told) {
    told();
  }
}

void ServerConnection::OnDrained() {
  if (this->drained_told) {
    // A copy: the listener may end the answer, which takes it away.
    const std::function<void()> told = this->drained_told;
    told();
  }
}

std::int64_t ServerConnection::PendingBytes() const {
  return this->phase == Phase::kOver ? 0 : this->socket->PendingBytes();
}

void ServerConnection::SetClosedTold(std::function<void()> told) {
  if (this->phase == Phase::kAnswering) {
    this->closed_told = std::move(told);
  }
}

void ServerConnection::SetDrainedTold(std::function<void()> told) {
  if (this->phase == Phase::kAnswering) {
    this->drained_told = std::move(told);
  }
}

// A request that the kernel holds already is read and answered.
void ServerConnection::CloseIfIdle() {
  if (this->phase == Phase::kReading && this->begun_ms < 0 &&
      this->socket->Backlog().unread <= 0) {
    this->CloseAfterAnswer();
  }
}

// How long the caller has taken nothing of what is on its way to it, or has had
// everything. One byte is enough: a caller may read as slowly as it likes, and
// its kernel takes an answer as it reads. What is written meanwhile is no
// progress of the caller's.
std::int64_t ServerConnection::RestMs(std::int64_t now_ms,
                                      const SocketBacklog& left) {
  const bool has_all = OnTheWay(left) == 0;
  const std::int64_t taken = this->socket->SentBytes() -
                             std::max<std::int64_t>(0, left.unacknowledged);
  if (has_all != this->has_all || taken != this->taken) {
    this->has_all = has_all;
    this->taken = taken;
    this->progress_ms = now_ms;
  }
  return now_ms - this->progress_ms;
}

bool ServerConnection::IsGone(std::int64_t rest_ms, const SocketBacklog& left) {
  const bool answers_probes =
      left.silent_ms >= 0 && left.silent_ms <= kSilentMs;
  return OnTheWay(left) > 0 && rest_ms > (answers_probes ? kRestMs : kSilentMs);
}

// Of a connection that rests and had everything nothing is asked.
void ServerConnection::CheckDelivery(std::int64_t now_ms) {
  if (this->phase == Phase::kReading && this->has_all &&
      this->socket->SentBytes() == this->taken) {
    return;
  }
  const SocketBacklog left = this->socket->Backlog();
  const std::int64_t rest_ms = this->RestMs(now_ms, left);
  if (IsGone(rest_ms, left)) {
    this->Abort("caller_takes_nothing");
  } else if (this->phase == Phase::kEnding && OnTheWay(left) == 0 &&
             rest_ms > kLingerMs) {
    this->socket->CloseNow();
    this->End();
  }
}

bool ServerConnection::IsOwed() const {
  switch (this->phase) {
    case Phase::kReading: {
      const SocketBacklog left = this->socket->Backlog();
      return this->begun_ms >= 0 || left.unread > 0 || OnTheWay(left) > 0;
    }
    case Phase::kAnswering:
    case Phase::kEnding:
      return true;
    case Phase::kOver:
      return false;
  }
  return false;
}

void ServerConnection::EndWithProcess() {
  const bool looks_whole =
      this->ends_by_close &&
      (this->phase == Phase::kAnswering || this->socket->PendingBytes() > 0);
  if (looks_whole) {
    this->Abort("process_ends");
    return;
  }
  if (this->phase != Phase::kOver) {
    this->LogCut("process_ends");
    this->socket->CloseNow();
    this->End();
  }
}

void ServerConnection::CheckTime(std::int64_t now_ms) {
  const auto self = this->shared_from_this();
  const ServerLimits& limits = this->host.Limits();
  if (this->phase != Phase::kOver) {
    this->CheckDelivery(now_ms);
  }
  if (this->phase != Phase::kReading) {
    return;
  }
  if (this->begun_ms < 0) {
    if (now_ms - this->resting_ms > limits.idle_timeout_ms) {
      this->CloseIfIdle();
    }
    return;
  }
  const std::int64_t limit =
      this->head_taken ? limits.body_timeout_ms : limits.header_timeout_ms;
  if (now_ms - this->begun_ms > limit) {
    this->Refuse({ErrorId::kBodyLate, "the request was not whole in time"});
  }
}

}  // namespace meadowthread::detail
