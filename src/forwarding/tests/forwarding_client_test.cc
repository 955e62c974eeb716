// Requests of a host that has lost its path to the servers, sent by other
// hosts.
#include "forwarding/forwarding_client.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "forwarding/forward_service.h"
#include "net/pooled_client.h"
#include "net/qt_scheduler.h"
#include "net/tests/raw_peer.h"

namespace meadowthread {
namespace {

using tests::Loop;
using tests::RawServer;

constexpr std::size_t kMaxRunning = 2;

/// @brief A host that takes orders.
struct PeerHost {
  PeerHost(QtScheduler& scheduler, const std::string& name,
           const std::string& server)
      : service(
            {"key-of-" + name, "", kMaxRunning,
             [server](std::string_view address) { return address == server; }},
            this->client, this->path, scheduler),
        http(&this->service, ServerLimits{}),
        peer{name, "127.0.0.1",
             this->http.Listen("127.0.0.1", 0, {}).value_or(0), "z",
             "key-of-" + name} {}

  SystemClock clock;
  PathMonitor path{this->clock};
  PooledClient client;
  ForwardService service;
  HttpServer http;
  ForwardPeer peer;
};

/// @brief Records one answer, and how often it ended.
struct Caller final : HttpHandler {
  void OnHead(int status, std::span<const HttpHeader> head) override {
    this->http_status = status;
    this->headers.assign(head.begin(), head.end());
  }
  void OnData(std::string_view data) override { this->body.append(data); }
  void OnEnd(const HttpCallResult& ended) override {
    ++this->ends;
    this->end = ended;
  }

  int http_status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  int ends = 0;
  HttpCallResult end;
};

/// @brief A client whose connections to one address can't be made.
class CutClient final : public HttpClient {
 public:
  explicit CutClient(QtScheduler& scheduler) : scheduler(scheduler) {}

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override {
    if (this->cut.empty() || request.url.find(this->cut) == std::string::npos) {
      return this->real.Start(request, handler);
    }
    ++this->refused;
    this->scheduler.After(0, [handler] {
      HttpCallResult end;
      end.status = absl::UnavailableError("cut");
      handler->OnEnd(end);
    });
    return kRefusedCall;
  }
  void Cancel(HttpCallId call) override {
    if (call != kRefusedCall) {
      this->real.Cancel(call);
    }
  }
  void SetPaused(HttpCallId call, bool paused) override {
    this->real.SetPaused(call, paused);
  }

  std::string cut;  ///< IP:PORT; empty: none
  int refused = 0;  ///< attempts that failed because of the cut

 private:
  static constexpr HttpCallId kRefusedCall = 1'000'000'000;

  QtScheduler& scheduler;
  PooledClient real;
};

/// @brief A host without a path to the server, and others.
struct ForwardingFixture {
  ForwardingFixture(Loop& loop, const RawServer& server, int others = 2)
      : loop(loop), server(server) {
    const std::string address = this->ServerAddress();
    for (int n = 1; n <= others; ++n) {
      this->hosts.push_back(std::make_unique<PeerHost>(
          this->scheduler, absl::StrCat("front-", n), address));
      this->peers.push_back(this->hosts.back()->peer);
    }
    this->path.SetServers(3);
  }
  void LosePathOf(PeerHost& other) {
    for (const char* const address : {"a", "b", "c"}) {
      other.path.NoteConnectFailed(address);
    }
  }
  /// @brief Sends a request and waits for its end.
  bool IsServed() {
    this->caller = Caller();
    this->Ask(this->Request());
    return this->WaitForEnd() && this->caller.end.status.ok();
  }
  std::string ServerAddress() const {
    return this->server.Url("").substr(std::string("http://").size());
  }
  void LosePath() {
    for (const char* const address : {"a", "b", "c"}) {
      this->path.NoteConnectFailed(address);
    }
  }
  HttpRequest Request() const {
    HttpRequest request;
    request.method = "POST";
    request.url = this->server.Url("/x");
    request.headers = {{"Request-Id", "r-1"}};
    request.body = "body";
    request.send_once = true;
    request.reuse_idle_ms = 0;
    return request;
  }
  void Ask(const HttpRequest& request) {
    this->call = this->client.Start(request, &this->caller);
  }
  bool WaitForEnd() {
    return this->loop.Until([this] { return this->caller.ends > 0; });
  }
  std::int64_t Taken() const {
    return this->hosts[0]->service.Taken() + this->hosts[1]->service.Taken();
  }

  Loop& loop;
  const RawServer& server;
  QtScheduler scheduler;
  SystemClock clock;
  std::mt19937_64 random{5};
  PathMonitor path{this->clock};
  CutClient direct{this->scheduler};
  std::vector<std::unique_ptr<PeerHost>> hosts;
  std::vector<ForwardPeer> peers;
  bool leaves = false;  ///< the server gets no new requests
  ForwardingClient client{{"self", "z", [this] { return this->peers; },
                           [this](std::string_view) { return !this->leaves; }},
                          this->direct,
                          this->path,
                          this->clock,
                          this->scheduler,
                          this->random};
  Caller caller;
  HttpCallId call = 0;
};

RawServer Answering(const std::string& answer, bool close = false) {
  return RawServer([answer, close](QTcpSocket& socket, const std::string& got) {
    if (got.ends_with("body")) {
      socket.write(answer.data(), static_cast<qint64>(answer.size()));
      if (close) {
        socket.disconnectFromHost();
      }
    }
  });
}

Test(a_request_of_a_host_without_a_path, is_answered_through_another_host) {
  Loop loop;
  const RawServer server = Answering(
      "HTTP/1.1 201 Created\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok");
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && fixture.caller.end.status.ok());
  cr_assert(fixture.caller.http_status == 201 && fixture.caller.body == "ok");
  cr_assert(FindHeader(fixture.caller.headers, "X-Stamp") == "s");
  cr_assert(!ForwardResultOf(fixture.caller.headers).has_value());
  cr_assert(fixture.Taken() == 1 && server.Connections() == 1);
  cr_assert(server.Received().find("Forward") == std::string::npos,
            "the server sees nothing of it");
}

Test(a_request_of_a_host_with_a_path, goes_to_the_server_itself) {
  Loop loop;
  const RawServer server =
      Answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ForwardingFixture fixture(loop, server);
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && fixture.caller.body == "ok");
  cr_assert(fixture.Taken() == 0);
}

// The first requests after the path was lost failed on each server in turn.
Test(a_request_that_finds_the_path_lost, is_forwarded_at_once) {
  Loop loop;
  const RawServer server =
      Answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ForwardingFixture fixture(loop, server);
  fixture.path.NoteConnectFailed("a");
  fixture.path.NoteConnectFailed("b");
  HttpRequest request = fixture.Request();
  request.url = "http://127.0.0.1:1/x";
  fixture.Ask(request);
  cr_assert(fixture.WaitForEnd());
  cr_assert(fixture.path.IsLost());
  cr_assert(!fixture.caller.end.request_may_have_left &&
                DetailOf(fixture.caller.end.status).step == "forward",
            "a server that no host knows gets nothing");
}

Test(an_answer_that_ends_by_closing, is_told_as_such) {
  Loop loop;
  const RawServer server = Answering("HTTP/1.1 200 OK\r\n\r\nrest", true);
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && fixture.caller.body == "rest");
  cr_assert(fixture.caller.end.ended_by_close);
}

Test(an_answer_that_breaks_off, is_not_taken_for_whole) {
  Loop loop;
  const RawServer server =
      Answering("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true);
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && !fixture.caller.end.status.ok());
  cr_assert(fixture.caller.end.request_may_have_left);
}

Test(a_request_whose_server_closed_without_an_answer, may_have_run) {
  Loop loop;
  const RawServer server = Answering("", true);
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && !fixture.caller.end.status.ok());
  cr_assert(fixture.caller.end.request_may_have_left);
  cr_assert(server.Connections() == 1, "it was sent once");
}

Test(a_request_that_no_host_can_send, is_known_not_to_have_left) {
  Loop loop;
  const RawServer server = Answering("");
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  for (const auto& host : fixture.hosts) {
    for (const char* const address : {"a", "b", "c"}) {
      host->path.NoteConnectFailed(address);
    }
  }
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && !fixture.caller.end.status.ok());
  cr_assert(!fixture.caller.end.request_may_have_left);
  cr_assert(fixture.Taken() == 0 && server.Connections() == 0,
            "one hop, and no circle");
}

Test(a_request, goes_to_the_next_host_if_one_can_not_be_reached) {
  Loop loop;
  const RawServer server =
      Answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  fixture.peers[0].port = 1;
  for (int n = 0; n < 4; ++n) {
    fixture.caller = Caller();
    fixture.Ask(fixture.Request());
    cr_assert(fixture.WaitForEnd() && fixture.caller.body == "ok");
  }
}

Test(a_request_with_another_key, is_not_sent) {
  Loop loop;
  const RawServer server = Answering("");
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  fixture.peers[0].key = "guess";
  fixture.peers[1].key = "";
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && !fixture.caller.end.request_may_have_left);
  cr_assert(fixture.Taken() == 0 && server.Connections() == 0);
}

Test(a_host_that_has_many_orders, takes_no_more) {
  Loop loop;
  const RawServer server = Answering("");
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  fixture.peers.pop_back();
  Caller waiting[kMaxRunning];
  for (Caller& one : waiting) {
    fixture.client.Start(fixture.Request(), &one);
  }
  cr_assert(fixture.loop.Until(
      [&] { return fixture.hosts[0]->service.Running() == kMaxRunning; }));
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && !fixture.caller.end.request_may_have_left);
}

Test(a_cancelled_request, ends_at_the_server_at_once) {
  Loop loop;
  const RawServer server = Answering("");
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  fixture.Ask(fixture.Request());
  const auto running = [&] {
    return fixture.hosts[0]->service.Running() +
           fixture.hosts[1]->service.Running();
  };
  cr_assert(fixture.loop.Until([&] { return running() == 1; }));
  cr_assert(fixture.loop.Until([&] { return server.Connections() == 1; }));
  fixture.client.Cancel(fixture.call);
  cr_assert(fixture.loop.Until([&] { return running() == 0; }));
  cr_assert(fixture.caller.ends == 0);
}

// Another server that answered was taken for a sign that all can be reached.
Test(a_request_to_a_server_that_only_this_host_can_not_reach, is_answered) {
  Loop loop;
  const RawServer server =
      Answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ForwardingFixture fixture(loop, server);
  fixture.direct.cut = fixture.ServerAddress();
  for (int n = 0; n < 5; ++n) {
    fixture.path.NoteConnected("another-server");
    cr_assert(fixture.IsServed());
  }
  cr_assert(server.Connections() == 5, "each was sent once");
}

// The attempt could reach the server late, after it has failed once.
Test(a_request_to_a_server_that_leaves_meanwhile, is_not_handed_on) {
  Loop loop;
  const RawServer server =
      Answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ForwardingFixture fixture(loop, server);
  fixture.direct.cut = fixture.ServerAddress();
  fixture.leaves = true;
  cr_assert(!fixture.IsServed());
  cr_assert(!fixture.caller.end.request_may_have_left);
  cr_assert(server.Connections() == 0);
}

// Three hosts that had lost their own path were asked, and no further one.
Test(a_request, finds_the_one_host_of_many_that_has_a_path) {
  Loop loop;
  const RawServer server =
      Answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ForwardingFixture fixture(loop, server, 12);
  fixture.LosePath();
  for (std::size_t n = 1; n < fixture.hosts.size(); ++n) {
    fixture.LosePathOf(*fixture.hosts[n]);
  }
  for (int n = 0; n < 5; ++n) {
    cr_assert(fixture.IsServed(), "request %d", n);
  }
}

// Connections that came up and were reset counted as a sound path.
Test(a_host_whose_connections_are_reset, has_no_sound_path) {
  Loop loop;
  const RawServer resets = Answering("", true);
  ForwardingFixture fixture(loop, resets);
  fixture.path.NoteConnectFailed("a");
  fixture.path.NoteConnectFailed("b");
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && !fixture.caller.end.status.ok());
  cr_assert(fixture.path.IsLost());
}

Test(a_host_that_stops, takes_no_orders) {
  Loop loop;
  const RawServer server = Answering("");
  ForwardingFixture fixture(loop, server);
  fixture.LosePath();
  for (const auto& host : fixture.hosts) {
    host->service.BeginStop();
  }
  fixture.Ask(fixture.Request());
  cr_assert(fixture.WaitForEnd() && !fixture.caller.end.request_may_have_left);
}

}  // namespace
}  // namespace meadowthread
