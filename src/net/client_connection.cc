#include "net/client_connection.h"

#include <limits>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/absl_view.h"
#include "base/error.h"
#include "net/http_code.h"
#include "net/http_headers.h"

namespace meadowthread::detail {
namespace {

constexpr std::size_t kHeadLimit = std::size_t{64} * 1024;
constexpr std::int64_t kMsPerSecond = 1000;
// Subtracted from the peer's Keep-Alive timeout, which is in whole seconds and
// starts when the peer sends the response.
constexpr std::int64_t kKeepAliveMarginMs = 700;
constexpr std::uint16_t kHttpPort = 80;
constexpr std::uint16_t kHttpsPort = 443;

std::int64_t KeepAliveLimitOf(const MessageHead& head) {
  const std::string_view value = FindHeader(head.headers, "Keep-Alive");
  for (absl::string_view part : absl::StrSplit(AbslView(value), ',')) {
    part = absl::StripAsciiWhitespace(part);
    std::int64_t seconds = 0;
    if (absl::StartsWithIgnoreCase(part, "timeout=") &&
        absl::SimpleAtoi(part.substr(8), &seconds)) {
      return seconds * kMsPerSecond - kKeepAliveMarginMs;
    }
  }
  return std::numeric_limits<std::int64_t>::max();
}

bool NeedsLength(const HttpRequest& request) {
  return !request.body.IsEmpty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

std::string HeadOf(const HttpRequest& request, const UrlParts& url) {
  std::string text =
      absl::StrCat(request.method, " ", url.target, " HTTP/1.1\r\n");
  if (FindHeader(request.headers, "Host").empty()) {
    absl::StrAppend(&text, "Host: ", url.authority, "\r\n");
  }
  AppendHeaders(request.headers, &text);
  if (NeedsLength(request)) {
    absl::StrAppend(&text, "Content-Length: ", request.body.Size(), "\r\n");
  }
  if (request.reuse_idle_ms == 0) {
    text.append("Connection: close\r\n");
  }
  text.append("\r\n");
  return text;
}

}  // namespace

std::string UrlParts::PoolKey() const {
  return absl::StrCat(this->tls ? "https://" : "", this->authority);
}

UrlParts SplitUrl(std::string_view url) {
  constexpr std::string_view kHttp = "http://";
  constexpr std::string_view kHttps = "https://";
  UrlParts parts;
  parts.tls = url.starts_with(kHttps);
  if (!parts.tls && !url.starts_with(kHttp)) {
    return {};
  }
  url.remove_prefix(parts.tls ? kHttps.size() : kHttp.size());
  const std::size_t slash = url.find_first_of("/?");
  parts.authority = std::string(url.substr(0, slash));
  parts.target =
      slash == std::string_view::npos ? "/" : std::string(url.substr(slash));
  if (parts.target.front() == '?') {
    parts.target = "/" + parts.target;
  }
  parts.port = parts.tls ? kHttpsPort : kHttpPort;
  const std::size_t colon = parts.authority.rfind(':');
  parts.host = parts.authority.substr(0, colon);
  if (colon != std::string::npos) {
    int port = 0;
    if (!absl::SimpleAtoi(parts.authority.substr(colon + 1), &port) ||
        port <= 0 || port > std::numeric_limits<std::uint16_t>::max()) {
      return {};
    }
    parts.port = static_cast<std::uint16_t>(port);
  }
  return parts;
}

ClientConnection::ClientConnection(ExchangeObserver& owner, UrlParts peer,
                                   std::unique_ptr<StreamSocket> socket)
    : owner(owner),
      peer(std::move(peer)),
      socket(std::move(socket)),
      reader(MessageKind::kResponse, kHeadLimit) {
  this->socket->SetHandler(this);
}

void ClientConnection::Begin(HttpCallId for_call, const HttpRequest& request,
                             const UrlParts& url) {
  this->call = for_call;
  this->echo = request.response_echo;
  this->head_told = false;
  this->discarding = false;
  this->answered = false;
  this->unwanted = {};
  this->http_status = 0;
  this->sent_before = this->socket->SentBytes();
  this->reader.ExpectNoBody(request.method == "HEAD");
  ++this->exchanges;
  this->socket->Write(HeadOf(request, url));
  this->socket->WriteShared(request.body);
}

bool ClientConnection::MayHaveSentBytes() const {
  return this->socket->SentBytes() > this->sent_before;
}

void ClientConnection::OnBytes(std::string_view bytes) {
  if (this->call == 0) {
    this->owner.OnIdleConnectionEnded(*this);
    return;
  }
  this->answered = true;
  this->ProcessMessages(this->reader.Feed(bytes));
}

void ClientConnection::ProcessMessages(ReadState state) {
  const HttpCallId mine = this->call;
  while (this->call == mine && mine != 0) {
    if (state == ReadState::kMalformed) {
      this->Fail(ErrorId::kPeerMalformed, this->reader.Problem());
      return;
    }
    if (state == ReadState::kHeadTooLarge) {
      this->FailAtLimit(this->reader.Problem());
      return;
    }
    if (this->reader.Head() != nullptr && !this->head_told) {
      if (this->reader.Head()->http_status < http_code::kFirstFinal) {
        if (!this->SkipInterim()) {
          return;
        }
        state = this->reader.Next();
        continue;
      }
      if (!this->ReportHead()) {
        return;
      }
    }
    if (!this->ReportBody()) {
      return;
    }
    if (state != ReadState::kWhole) {
      return;
    }
    if (!this->discarding) {
      this->FinishResponse(false);
      return;
    }
    this->head_told = false;
    this->discarding = false;
    state = this->reader.Next();
  }
}

// A 1xx response has no body; the final response follows.
/// @return false if the call has ended
bool ClientConnection::SkipInterim() {
  if (!this->unwanted.AddInterim()) {
    this->FailAtLimit("the peer sent too many interim responses");
    return false;
  }
  return true;
}

/// @return false if the call has ended
bool ClientConnection::ReportBody() {
  const HttpCallId mine = this->call;
  const std::string data = this->reader.TakeBody();
  if (data.empty()) {
    return true;
  }
  if (!this->discarding) {
    this->owner.OnExchangeData(*this, data);
    return this->call == mine;
  }
  if (!this->unwanted.AddDiscarded(data.size())) {
    this->FailAtLimit("the responses to other requests are too long");
    return false;
  }
  return true;
}

/// @return false if the call has ended
bool ClientConnection::ReportHead() {
  const HttpCallId mine = this->call;
  const MessageHead& head = *this->reader.Head();
  this->head_told = true;
  this->discarding = this->IsForeignResponse(head);
  if (this->discarding) {
    this->owner.OnForeignResponse(*this);
    if (!this->unwanted.AddForeign()) {
      this->FailAtLimit("the peer answered too many other requests");
      return false;
    }
    return true;
  }
  this->http_status = head.http_status;
  this->owner.OnExchangeHead(*this, head.http_status, head);
  return this->call == mine;
}

bool ClientConnection::IsForeignResponse(const MessageHead& head) const {
  if (this->echo.name.empty()) {
    return false;
  }
  const std::string_view value = FindHeader(head.headers, this->echo.name);
  return !value.empty() && value != this->echo.value;
}

void ClientConnection::FinishResponse(bool by_close) {
  const MessageHead& head = *this->reader.Head();
  this->keep_alive_limit_ms = KeepAliveLimitOf(head);
  // Not reusable if part of the request is still unsent, since it would run
  // into the next request, or if bytes follow the response, since they answer
  // no request.
  const bool reusable = !by_close && head.keep_alive && !head.until_close &&
                        this->socket->PendingBytes() == 0 &&
                        this->reader.RestBytes() == 0;
  HttpCallResult end;
  end.http_status = this->http_status;
  end.request_may_have_left = true;
  end.ended_by_close = by_close;
  this->ReportEnd(end, reusable);
}

void ClientConnection::OnEnded(SocketEnd end) {
  if (this->call == 0) {
    this->owner.OnIdleConnectionEnded(*this);
    return;
  }
  if (end == SocketEnd::kConnectFailed || !this->MayHaveSentBytes()) {
    this->Fail(ErrorId::kConnectFailed, "the connection could not be made");
    return;
  }
  const bool ended_whole = end == SocketEnd::kFinished && this->head_told &&
                           !this->discarding &&
                           this->reader.FeedEnd() == ReadState::kWhole;
  if (ended_whole) {
    this->FinishResponse(true);
    return;
  }
  this->Fail(ErrorId::kConnectionLost, end == SocketEnd::kReset
                                           ? "the connection was reset"
                                           : "the connection ended early");
}

void ClientConnection::FailWith(ErrorId id, std::string_view what,
                                bool exceeded_limit) {
  ErrorDetail detail;
  detail.id = id;
  detail.peer = this->peer.authority;
  const bool left = this->MayHaveSentBytes();
  detail.step = left ? "read-answer" : "connect";
  HttpCallResult end;
  end.http_status = this->http_status;
  end.request_may_have_left = left;
  end.exceeded_limit = exceeded_limit;
  end.status = MakeError(absl::StatusCode::kUnavailable, detail, what);
  this->ReportEnd(end, false);
}

void ClientConnection::ReportEnd(const HttpCallResult& end, bool reusable) {
  ExchangeEnd told;
  told.end = end;
  told.answered = this->answered;
  told.reusable = reusable;
  this->owner.OnExchangeEnd(*this, told);
}

void ClientConnection::AbortSilently() {
  this->call = 0;
  this->socket->SetHandler(nullptr);
  this->socket->Abort();
}

}  // namespace meadowthread::detail
