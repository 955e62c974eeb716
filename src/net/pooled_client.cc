#include "net/pooled_client.h"

#include <QHostAddress>
#include <QObject>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "net/client_connection.h"
#include "net/plain_socket.h"
#include "net/qt_socket.h"
#include "net/socket_poller.h"

namespace meadowthread {
namespace detail {
namespace {

// Interval between checks of the timeouts. Deadlines that clients see are
// enforced to the millisecond by the components that set them.
constexpr std::chrono::milliseconds kCheckPeriod{50};
// Most idle connections kept per peer, so that a burst of calls doesn't leave
// many open.
constexpr std::size_t kMaxIdlePerPeer = 16;

bool IsIpv4Address(const std::string& host) {
  QHostAddress address;
  return address.setAddress(QString::fromStdString(host)) &&
         address.protocol() == QAbstractSocket::IPv4Protocol;
}

}  // namespace

/// @brief The calls in progress and the pool of idle connections.
class ClientCore final : public ExchangeObserver {
 public:
  ClientCore();
  ClientCore(const ClientCore&) = delete;
  ClientCore& operator=(const ClientCore&) = delete;

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler);
  void Cancel(HttpCallId id);
  void SetPaused(HttpCallId id, bool paused);
  void CloseIdle(std::string_view peer);
  const ClientStats& Stats() const { return this->stats; }

  void OnExchangeHead(ClientConnection& from, int http_status,
                      const MessageHead& head) override;
  void OnExchangeData(ClientConnection& from, std::string_view data) override;
  void OnExchangeEnd(ClientConnection& from, const ExchangeEnd& end) override;
  void OnForeignResponse(ClientConnection& from) override;
  void OnIdleConnectionEnded(ClientConnection& from) override;

 private:
  struct Call {
    HttpRequest request;
    UrlParts url;
    HttpHandler* handler = nullptr;
    std::unique_ptr<ClientConnection> connection;
    std::int64_t started_ms = 0;
    std::int64_t last_activity_ms = 0;
    bool resent = false;
    bool paused = false;
  };
  struct IdleConnection {
    std::unique_ptr<ClientConnection> connection;
    std::int64_t idle_since_ms = 0;
  };

  void Send(HttpCallId id, Call* call);
  std::unique_ptr<ClientConnection> TakeIdle(const Call& call);
  absl::StatusOr<std::unique_ptr<StreamSocket>> Connect(const UrlParts& url);
  void KeepIdle(std::unique_ptr<ClientConnection> connection);
  void DestroyLater(std::unique_ptr<ClientConnection> connection);
  void EndCall(HttpCallId id, const HttpCallResult& end);
  void FailCallLater(HttpCallId id, const absl::Status& status);
  void CheckTimeouts();
  void CheckCall(const Call& call, std::int64_t now_ms);
  void CloseExpiredIdle(std::int64_t now_ms);
  void StartTimeoutChecks();

  SystemClock clock;
  SocketPoller poller;
  QTimer check_timer;
  std::unordered_map<HttpCallId, Call> calls;
  std::unordered_map<std::string, std::vector<IdleConnection>> idle;
  std::vector<std::unique_ptr<ClientConnection>> to_destroy;
  HttpCallId last_id = 0;
  ClientStats stats;
};

ClientCore::ClientCore() {
  QObject::connect(&this->check_timer, &QTimer::timeout, &this->check_timer,
                   [this] { this->CheckTimeouts(); });
}

///////////////////
// Starting calls
///////////////////

HttpCallId ClientCore::Start(const HttpRequest& request, HttpHandler* handler) {
  const HttpCallId id = ++this->last_id;
  Call& call = this->calls[id];
  call.request = request;
  call.url = SplitUrl(request.url);
  call.handler = handler;
  call.started_ms = this->clock.MonotonicMs();
  call.last_activity_ms = call.started_ms;
  this->StartTimeoutChecks();
  this->Send(id, &call);
  return id;
}

void ClientCore::Send(HttpCallId id, Call* call) {
  std::unique_ptr<ClientConnection> connection = this->TakeIdle(*call);
  if (connection != nullptr) {
    ++this->stats.reuses;
  } else {
    absl::StatusOr<std::unique_ptr<StreamSocket>> socket =
        this->Connect(call->url);
    if (!socket.ok()) {
      this->FailCallLater(id, socket.status());
      return;
    }
    ++this->stats.connects;
    connection = std::make_unique<ClientConnection>(*this, call->url,
                                                    *std::move(socket));
  }
  call->connection = std::move(connection);
  call->connection->Begin(id, call->request, call->url);
}

absl::StatusOr<std::unique_ptr<StreamSocket>> ClientCore::Connect(
    const UrlParts& url) {
  if (url.host.empty()) {
    ErrorDetail detail;
    detail.id = ErrorId::kConnectFailed;
    detail.step = "connect";
    return MakeError(absl::StatusCode::kInvalidArgument, detail,
                     "the URL is not valid");
  }
  if (url.tls || !IsIpv4Address(url.host)) {
    return std::make_unique<QtSocket>(PeerAddress{url.host, url.port, url.tls});
  }
  return PlainSocket::Connect(this->poller, url.host, url.port);
}

std::unique_ptr<ClientConnection> ClientCore::TakeIdle(const Call& call) {
  const auto found = this->idle.find(call.url.PoolKey());
  if (found == this->idle.end() || call.request.reuse_idle_ms == 0 ||
      call.resent) {
    return nullptr;
  }
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<IdleConnection>& list = found->second;
  // The last in the list is the most recently used one.
  while (!list.empty()) {
    const std::int64_t idle_ms = now_ms - list.back().idle_since_ms;
    if (idle_ms > call.request.reuse_idle_ms) {
      return nullptr;
    }
    IdleConnection last = std::move(list.back());
    list.pop_back();
    if (idle_ms < last.connection->KeepAliveLimitMs() &&
        last.connection->IsQuiet()) {
      return std::move(last.connection);
    }
    this->DestroyLater(std::move(last.connection));
  }
  return nullptr;
}

void ClientCore::FailCallLater(HttpCallId id, const absl::Status& status) {
  QTimer::singleShot(0, &this->check_timer, [this, id, status] {
    HttpCallResult end;
    end.status = status;
    this->EndCall(id, end);
  });
}

///////////////////
// Ending calls
///////////////////

void ClientCore::Cancel(HttpCallId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  this->DestroyLater(std::move(found->second.connection));
  this->calls.erase(found);
}

void ClientCore::EndCall(HttpCallId id, const HttpCallResult& end) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  HttpHandler* const told = found->second.handler;
  this->DestroyLater(std::move(found->second.connection));
  this->calls.erase(found);
  told->OnEnd(end);
}

void ClientCore::OnExchangeEnd(ClientConnection& from, const ExchangeEnd& end) {
  const HttpCallId id = from.Call();
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  // A reused connection may have been closed by the peer before the request
  // arrived, so a request that is safe to repeat is sent again.
  const bool resend = !end.end.status.ok() && !end.answered && from.WasUsed() &&
                      !call.request.send_once && !call.resent;
  if (resend) {
    ++this->stats.resent;
    call.resent = true;
    this->DestroyLater(std::move(call.connection));
    this->Send(id, &call);
    return;
  }
  HttpCallResult result = end.end;
  result.new_connection = !from.WasUsed();
  if (end.reusable && call.request.reuse_idle_ms > 0) {
    this->KeepIdle(std::move(call.connection));
  }
  this->EndCall(id, result);
}

void ClientCore::KeepIdle(std::unique_ptr<ClientConnection> connection) {
  std::vector<IdleConnection>& list = this->idle[connection->Peer().PoolKey()];
  connection->MarkIdle();
  list.push_back({std::move(connection), this->clock.MonotonicMs()});
  if (list.size() > kMaxIdlePerPeer) {
    this->DestroyLater(std::move(list.front().connection));
    list.erase(list.begin());
  }
}

void ClientCore::CloseIdle(std::string_view peer) {
  const auto found = this->idle.find(std::string(peer));
  if (found == this->idle.end()) {
    return;
  }
  std::vector<IdleConnection> dropped = std::move(found->second);
  this->idle.erase(found);
  for (IdleConnection& one : dropped) {
    this->DestroyLater(std::move(one.connection));
  }
}

// Destroys the connection later in the turn of the event loop, as its methods
// may be on the call stack.
void ClientCore::DestroyLater(std::unique_ptr<ClientConnection> connection) {
  if (connection == nullptr) {
    return;
  }
  connection->AbortSilently();
  if (this->to_destroy.empty()) {
    QTimer::singleShot(0, &this->check_timer,
                       [this] { this->to_destroy.clear(); });
  }
  this->to_destroy.push_back(std::move(connection));
}

void ClientCore::OnIdleConnectionEnded(ClientConnection& from) {
  const auto found = this->idle.find(from.Peer().PoolKey());
  if (found == this->idle.end()) {
    return;
  }
  std::vector<IdleConnection>& list = found->second;
  const auto place = std::find_if(list.begin(), list.end(),
                                  [&from](const IdleConnection& one) {
                                    return one.connection.get() == &from;
                                  });
  if (place != list.end()) {
    this->DestroyLater(std::move(place->connection));
    list.erase(place);
  }
}

//////////////////////////
// Events of running calls
//////////////////////////

void ClientCore::OnExchangeHead(ClientConnection& from, int http_status,
                                const MessageHead& head) {
  const auto found = this->calls.find(from.Call());
  if (found != this->calls.end()) {
    found->second.last_activity_ms = this->clock.MonotonicMs();
    found->second.handler->OnHead(http_status, head.headers);
  }
}

void ClientCore::OnExchangeData(ClientConnection& from, std::string_view data) {
  const auto found = this->calls.find(from.Call());
  if (found != this->calls.end()) {
    found->second.last_activity_ms = this->clock.MonotonicMs();
    found->second.handler->OnData(data);
  }
}

void ClientCore::OnForeignResponse(ClientConnection& /*from*/) {
  ++this->stats.foreign_responses;
}

void ClientCore::SetPaused(HttpCallId id, bool paused) {
  const auto found = this->calls.find(id);
  if (found != this->calls.end() && found->second.connection != nullptr) {
    found->second.connection->SetPaused(paused);
    found->second.paused = paused;
    found->second.last_activity_ms = this->clock.MonotonicMs();
  }
}

void ClientCore::StartTimeoutChecks() {
  if (!this->check_timer.isActive()) {
    this->check_timer.start(kCheckPeriod);
  }
}

void ClientCore::CheckTimeouts() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<HttpCallId> ids;
  ids.reserve(this->calls.size());
  for (const auto& [id, call] : this->calls) {
    ids.push_back(id);
  }
  for (const HttpCallId id : ids) {
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
      this->CheckCall(found->second, now_ms);
    }
  }
  this->CloseExpiredIdle(now_ms);
  if (this->calls.empty() && this->idle.empty()) {
    this->check_timer.stop();
  }
}

void ClientCore::CheckCall(const Call& call, std::int64_t now_ms) {
  if (call.connection == nullptr) {
    return;
  }
  const HttpRequest& request = call.request;
  const std::int64_t age_ms = now_ms - call.started_ms;
  const std::int64_t silence_ms = now_ms - call.last_activity_ms;
  if (!call.connection->IsConnected() && !call.connection->WasUsed() &&
      age_ms >= request.connect_timeout_ms) {
    call.connection->Fail(ErrorId::kConnectFailed, "connecting took too long");
  } else if (request.total_timeout_ms > 0 &&
             age_ms >= request.total_timeout_ms) {
    call.connection->Fail(ErrorId::kPeerTimeout, "the call took too long");
  } else if (request.idle_timeout_ms > 0 && !call.paused &&
             silence_ms >= request.idle_timeout_ms) {
    call.connection->Fail(ErrorId::kPeerTimeout,
                          "the peer sent nothing within the idle timeout");
  }
}

void ClientCore::CloseExpiredIdle(std::int64_t now_ms) {
  // Longer than the `reuse_idle_ms` of any call.
  constexpr std::int64_t kMaxIdleMs = 30'000;
  for (auto place = this->idle.begin(); place != this->idle.end();) {
    std::vector<IdleConnection>& list = place->second;
    for (IdleConnection& one : list) {
      const std::int64_t limit_ms =
          std::min(kMaxIdleMs, one.connection->KeepAliveLimitMs());
      if (now_ms - one.idle_since_ms > limit_ms) {
        this->DestroyLater(std::move(one.connection));
      }
    }
    std::erase_if(list, [](const IdleConnection& one) {
      return one.connection == nullptr;
    });
    place = list.empty() ? this->idle.erase(place) : std::next(place);
  }
}

}  // namespace detail

PooledClient::PooledClient() : core(std::make_unique<detail::ClientCore>()) {}

PooledClient::~PooledClient() = default;

HttpCallId PooledClient::Start(const HttpRequest& request,
                               HttpHandler* handler) {
  return this->core->Start(request, handler);
}

void PooledClient::Cancel(HttpCallId call) { this->core->Cancel(call); }

void PooledClient::SetPaused(HttpCallId call, bool paused) {
  this->core->SetPaused(call, paused);
}

void PooledClient::CloseIdle(std::string_view peer) {
  this->core->CloseIdle(peer);
}

const ClientStats& PooledClient::Stats() const { return this->core->Stats(); }

}  // namespace meadowthread
