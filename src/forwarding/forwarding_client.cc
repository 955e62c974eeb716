#include "forwarding/forwarding_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// Hosts that one attempt asks: a refusal costs a round trip within the region.
constexpr std::size_t kMaxPeersAsked = 10;
// Hosts that one attempt waits for in vain, as they or the server can't be
// reached; further ones would only add delay.
constexpr int kMaxSlowFailures = 3;
// Time for another host to connect to a server of which it is not known whether
// only this host can't reach it.
constexpr std::int64_t kSecondOpinionConnectMs = 100;

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
      this->has_head = true;
      this->handler->OnHead(http_status, headers);
      return;
    }
    this->result = ForwardResultOf(headers);
    this->refusal = ForwardRefusalOf(headers);
    if (this->HasAnswer()) {
      this->client.OnPeerAnswer(*this);
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
  bool was_sent_directly = false;
  int slow_failures = 0;
  std::optional<ForwardResult> result;
  ForwardRefusal refusal = ForwardRefusal::kOther;
  bool has_head = false;  ///< of this host's own attempt
  int http_status = 0;
};

ForwardingClient::ForwardingClient(ForwardingHost host, HttpClient& direct,
                                   PathMonitor& monitor, const Clock& clock,
                                   Scheduler& scheduler,
                                   std::mt19937_64& random)
    : host(std::move(host)),
      direct(direct),
      monitor(monitor),
      scheduler(scheduler),
      chooser(this->host.zone, clock, random) {}

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
  if (!this->monitor.IsLost(call.server) || !this->SendThroughPeer(call)) {
    this->SendDirect(call);
  }
  return id;
}

void ForwardingClient::SendDirect(Call& call) {
  call.peer.clear();
  call.was_sent_directly = true;
  call.running = this->direct.Start(call.request, &call);
}

// A server that this host alone has failed to reach may be down, so that a
// single other host is asked. One that leaves gets nothing that is late because
// it was tried before.
bool ForwardingClient::MayAskFurther(const Call& call) const {
  const bool was_tried = call.was_sent_directly || !call.asked.empty();
  if (was_tried && this->host.accepts_requests &&
      !this->host.accepts_requests(call.server)) {
    return false;
  }
  const int most =
      this->monitor.HasLostPath() || call.asked.empty() ? kMaxSlowFailures : 1;
  return call.asked.size() < kMaxPeersAsked && call.slow_failures < most;
}

bool ForwardingClient::SendThroughPeer(Call& call) {
  if (!this->MayAskFurther(call)) {
    return false;
  }
  const std::vector<ForwardPeer> peers = this->host.peers();
  const ForwardPeer* const peer =
      this->chooser.Choose(peers, call.server, call.asked);
  if (peer == nullptr) {
    return false;
  }
  ForwardOrder order;
  order.from = this->host.name;
  order.key = peer->key;
  order.server = call.server;
  order.connect_timeout_ms = call.request.connect_timeout_ms;
  if (!this->monitor.IsLost(call.server)) {
    order.connect_timeout_ms =
        std::min(order.connect_timeout_ms, kSecondOpinionConnectMs);
  }
  order.echo = call.request.response_echo.name;
  call.peer = peer->name;
  call.asked.push_back(peer->name);
  call.result.reset();
  this->chooser.NoteStarted(peer->name);
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
    if (!found->second->peer.empty()) {
      this->chooser.NoteEnded(found->second->peer);
    }
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

// Nothing of the request was sent on a connection that failed, so that another
// host may send it.
void ForwardingClient::OnDirectEnd(Call& call, const HttpCallResult& end) {
  NotePath(this->monitor, call.server, end, call.has_head);
  const bool is_unsent = !end.request_may_have_left && !end.status.ok();
  if (is_unsent && this->monitor.MayAskElsewhere(call.server) &&
      this->SendThroughPeer(call)) {
    return;
  }
  this->End(call, end);
}

void ForwardingClient::OnPeerAnswer(const Call& call) {
  this->chooser.NoteAnswered(call.peer, call.server);
  this->monitor.NoteReachedElsewhere(call.server);
}

void ForwardingClient::OnPeerEnd(Call& call, const HttpCallResult& end) {
  this->chooser.NoteEnded(call.peer);
  if (call.HasAnswer()) {
    ++this->stats.answered;
    HttpCallResult ended = end;
    ended.http_status = call.http_status;
    ended.request_may_have_left = true;
    ended.ended_by_close = call.result == ForwardResult::kAnswerByClose;
    this->End(call, ended);
  } else if (call.result == ForwardResult::kNotSent) {
    ++call.slow_failures;
    this->chooser.NoteNotSent(call.peer, call.server);
    this->TryNextPeer(call);
  } else if (call.result == ForwardResult::kNotTaken) {
    this->chooser.NoteRefused(call.peer, call.server, call.refusal);
    this->TryNextPeer(call);
  } else if (!end.request_may_have_left) {
    ++call.slow_failures;
    this->chooser.NoteUnreachable(call.peer);
    this->TryNextPeer(call);
  } else {
    if (call.result == ForwardResult::kLost) {
      this->monitor.NoteDownElsewhere(call.server);
    } else {
      this->chooser.NoteUnreachable(call.peer);
    }
    this->End(call, Lost(call.peer));
  }
}

void ForwardingClient::TryNextPeer(Call& call) {
  const bool was_tried = call.result == ForwardResult::kNotSent;
  LogLine("forward-not-sent")
      .Add("request", call.request.response_echo.value)
      .Add("server", call.server)
      .Add("host", this->host.name)
      .Add("through", call.peer)
      .Add("asked", call.asked.size())
      .Add("why",
           was_tried ? "not-connected" : ForwardRefusalName(call.refusal))
      .WriteImportant();
  if (this->SendThroughPeer(call)) {
    return;
  }
  ++this->stats.not_sent;
  if (was_tried) {
    this->monitor.NoteDownElsewhere(call.server);
  }
  this->End(call, NotSent(call.server));
}

}  // namespace meadowthread
