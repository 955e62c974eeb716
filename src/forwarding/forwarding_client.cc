#include "forwarding/forwarding_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// Hosts that one attempt asks: further ones would only add delay.
constexpr int kMaxPeersAsked = 3;
// A host that could not be reached is not asked again for this long.
constexpr std::int64_t kUnreachableMs = 2'000;
// Nor is one that does not take orders now: it is full, or its own path is
// lost.
constexpr std::int64_t kNotTakenMs = 500;

std::string ServerOf(const HttpRequest& request) {
  constexpr std::string_view kScheme = "http://";
  const std::size_t end = request.url.find('/', kScheme.size());
  return request.url.substr(kScheme.size(), end - kScheme.size());
}

HttpCallResult NotSent(const std::string& server) {
  ErrorDetail detail;
  detail.id = ErrorId::kConnectFailed;
  detail.outcome = Outcome::kNotRun;
  detail.step = "forward";
  detail.peer = server;
  HttpCallResult end;
  end.status = MakeError(absl::StatusCode::kUnavailable, detail,
                         "no host can send the request to the server");
  return end;
}

HttpCallResult Lost(const std::string& peer) {
  ErrorDetail detail;
  detail.id = ErrorId::kConnectionLost;
  detail.outcome = Outcome::kUnknown;
  detail.step = "forward";
  detail.peer = peer;
  HttpCallResult end;
  end.status = MakeError(absl::StatusCode::kUnavailable, detail,
                         "the host that sent the request lost its answer");
  end.request_may_have_left = true;
  return end;
}

}  // namespace

/// @brief One attempt, and where it is sent now.
class ForwardingClient::Call final : public HttpHandler {
 public:
  Call(ForwardingClient& client, HttpCallId id, const HttpRequest& request,
       HttpHandler* handler)
      : client(client),
        id(id),
        request(request),
        server(ServerOf(request)),
        handler(handler) {}

  void OnHead(int http_status, std::span<const HttpHeader> headers) override {
    if (this->peer.empty()) {
      this->handler->OnHead(http_status, headers);
      return;
    }
    this->result = ForwardResultOf(headers);
    if (this->HasAnswer()) {
      this->http_status = http_status;
      this->handler->OnHead(http_status, WithoutResult(headers));
    }
  }

  void OnData(std::string_view data) override {
    if (this->peer.empty() || this->HasAnswer()) {
      this->handler->OnData(data);
    }
  }

  void OnEnd(const HttpCallResult& end) override {
    this->running = 0;
    if (this->peer.empty()) {
      this->client.OnDirectEnd(*this, end);
    } else {
      this->client.OnPeerEnd(*this, end);
    }
  }

  bool HasAnswer() const {
    return this->result == ForwardResult::kAnswer ||
           this->result == ForwardResult::kAnswerByClose;
  }

  ForwardingClient& client;
  HttpCallId id;
  HttpRequest request;
  std::string server;  ///< IP:PORT
  HttpHandler* handler;
  HttpCallId running = 0;  ///< of the direct client
  std::string peer;        ///< the host that sends it; empty: this host
  std::vector<std::string> asked;
  std::optional<ForwardResult> result;
  int http_status = 0;
};

ForwardingClient::ForwardingClient(ForwardingHost host, HttpClient& direct,
                                   PathMonitor& monitor, const Clock& clock,
                                   Scheduler& scheduler,
                                   std::mt19937_64& random)
    : host(std::move(host)),
      direct(direct),
      monitor(monitor),
      clock(clock),
      scheduler(scheduler),
      random(random) {}

ForwardingClient::~ForwardingClient() {
  for (const auto& [id, call] : this->calls) {
    if (call->running != 0) {
      this->direct.Cancel(call->running);
    }
  }
}

///////////
// Sending
///////////

HttpCallId ForwardingClient::Start(const HttpRequest& request,
                                   HttpHandler* handler) {
  const HttpCallId id = ++this->last_id;
  Call& call =
      *this->calls
           .emplace(id, std::make_unique<Call>(*this, id, request, handler))
           .first->second;
  if (!this->monitor.IsLost() || !this->SendThroughPeer(call)) {
    this->SendDirect(call);
  }
  return id;
}

void ForwardingClient::SendDirect(Call& call) {
  call.peer.clear();
  call.running = this->direct.Start(call.request, &call);
}

bool ForwardingClient::IsUnfit(const ForwardPeer& peer) const {
  const auto found = this->unfit_until_ms.find(peer.name);
  return found != this->unfit_until_ms.end() &&
         found->second > this->clock.MonotonicMs();
}

// Chooses among the hosts of this host's zone, or among the others if none of
// them is fit: bytes between zones are dear, and a whole zone may be cut off.
const ForwardPeer* ForwardingClient::ChoosePeer(
    const std::vector<ForwardPeer>& peers, const Call& call) {
  const ForwardPeer* chosen = nullptr;
  bool chosen_is_near = false;
  std::uint64_t equals = 0;
  for (const ForwardPeer& peer : peers) {
    const bool was_asked = std::find(call.asked.begin(), call.asked.end(),
                                     peer.name) != call.asked.end();
    const bool is_near = peer.zone == this->host.zone;
    if (was_asked || this->IsUnfit(peer) || (chosen_is_near && !is_near)) {
      continue;
    }
    if (is_near && !chosen_is_near) {
      equals = 0;
      chosen_is_near = true;
    }
    if (this->random() % ++equals == 0) {
      chosen = &peer;
    }
  }
  return chosen;
}

bool ForwardingClient::SendThroughPeer(Call& call) {
  if (call.asked.size() >= kMaxPeersAsked) {
    return false;
  }
  const std::vector<ForwardPeer> peers = this->host.peers();
  const ForwardPeer* const peer = this->ChoosePeer(peers, call);
  if (peer == nullptr) {
    return false;
  }
  ForwardOrder order;
  order.from = this->host.name;
  order.key = peer->key;
  order.server = call.server;
  order.connect_timeout_ms = call.request.connect_timeout_ms;
  order.echo = call.request.response_echo.name;
  call.peer = peer->name;
  call.asked.push_back(peer->name);
  call.result.reset();
  ++this->stats.forwarded;
  LogLine("forward")
      .Add("request", call.request.response_echo.value)
      .Add("server", call.server)
      .Add("host", this->host.name)
      .Add("through", peer->name)
      .Add("asked", call.asked.size())
      .Write();
  call.running =
      this->direct.Start(EncodeForward(call.request, *peer, order), &call);
  return true;
}

void ForwardingClient::Cancel(HttpCallId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  if (found->second->running != 0) {
    this->direct.Cancel(found->second->running);
  }
  this->ended.push_back(std::move(found->second));
  this->calls.erase(found);
  this->scheduler.After(0, this->life.Guarded([this] { this->ended.clear(); }));
}

void ForwardingClient::SetPaused(HttpCallId id, bool paused) {
  const auto found = this->calls.find(id);
  if (found != this->calls.end()) {
    this->direct.SetPaused(found->second->running, paused);
  }
}

//////////
// Ending
//////////

void ForwardingClient::End(Call& call, const HttpCallResult& end) {
  HttpHandler* const handler = call.handler;
  this->Cancel(call.id);
  handler->OnEnd(end);
}

// A connection that failed is evidence on the path; so is a new one that was
// used. Nothing of the request was sent on a connection that failed.
void ForwardingClient::OnDirectEnd(Call& call, const HttpCallResult& end) {
  if (end.request_may_have_left) {
    if (end.new_connection) {
      this->monitor.NoteConnected(call.server);
    }
  } else if (!end.status.ok()) {
    this->monitor.NoteConnectFailed(call.server);
    if (this->monitor.IsLost() && this->SendThroughPeer(call)) {
      return;
    }
  }
  this->End(call, end);
}

void ForwardingClient::OnPeerEnd(Call& call, const HttpCallResult& end) {
  if (call.HasAnswer()) {
    ++this->stats.answered;
    HttpCallResult ended = end;
    ended.http_status = call.http_status;
    ended.request_may_have_left = true;
    ended.ended_by_close = call.result == ForwardResult::kAnswerByClose;
    this->End(call, ended);
  } else if (call.result == ForwardResult::kNotSent) {
    ++this->stats.not_sent;
    this->End(call, NotSent(call.server));
  } else if (call.result == ForwardResult::kNotTaken) {
    this->TryNextPeer(call, kNotTakenMs);
  } else if (!end.request_may_have_left) {
    this->TryNextPeer(call, kUnreachableMs);
  } else {
    this->End(call, Lost(call.peer));
  }
}

void ForwardingClient::TryNextPeer(Call& call, std::int64_t unfit_ms) {
  this->unfit_until_ms[call.peer] = this->clock.MonotonicMs() + unfit_ms;
  LogLine("forward-not-taken")
      .Add("request", call.request.response_echo.value)
      .Add("server", call.server)
      .Add("host", this->host.name)
      .Add("through", call.peer)
      .Add("asked", call.asked.size())
      .Add("left_out_ms", unfit_ms)
      .WriteImportant();
  if (!this->SendThroughPeer(call)) {
    ++this->stats.not_sent;
    this->End(call, NotSent(call.server));
  }
}

}  // namespace meadowthread
