// Tests closing a connection while the client sends or has shut down sending.
// Guards against three failures: a request in the kernel's receive buffer at
// the close was read and discarded without a response; a client that had shut
// down sending got 2,177,024 of 6,000,000 bytes; and a response written in the
// process's last turn of the event loop stayed in the server's buffer and was
// lost.
#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "net/http_server.h"
#include "net/tests/raw_peer.h"
#include "net/tests/slow_client.h"

namespace meadowthread {
namespace {

using tests::Loop;
using tests::SlowClient;

constexpr std::size_t kShort = 100;
// More than the kernel buffers for one connection.
constexpr std::size_t kLong = 6'000'000;
constexpr std::size_t kAll = 1'000'000;

// Responds at once, or keeps the writer if `keeps` is set.
struct Answers final : public HttpService {
  void Serve(const ServerRequest&,
             std::unique_ptr<ResponseWriter> writer) override {
    ++this->served;
    if (this->keeps) {
      this->kept = std::move(writer);
      return;
    }
    writer->SendWhole(
        {200, "text/plain", {}, std::string(this->bytes, 'a') + "end"});
  }
  std::size_t bytes = kShort;
  bool keeps = false;
  int served = 0;
  std::unique_ptr<ResponseWriter> kept;
};

struct Fixture {
  Fixture()
      : server(std::make_unique<HttpServer>(&this->service, ServerLimits{})) {
    this->request.method = "GET";
    this->request.url =
        "http://127.0.0.1:" +
        std::to_string(*this->server->Listen("127.0.0.1", 0, {})) + "/x";
  }

  bool IsServed(int times) {
    return this->loop.Until([&] { return this->service.served == times; });
  }
  bool HasAnswers(const SlowClient& caller, int count) {
    return this->loop.Until([&] {
      int ends = 0;
      for (std::size_t at = caller.Got().find("aend"); at != std::string::npos;
           at = caller.Got().find("aend", at + 1)) {
        ++ends;
      }
      return ends == count || caller.Ended() != SlowClient::End::kOpen;
    }) && caller.Got().ends_with("aend");
  }
  /// @brief Busy-waits until what a client has just sent is in the server's
  /// kernel receive buffer, without running the event loop.
  void WaitForArrival() const {
    const std::int64_t end_ms = this->loop.clock.MonotonicMs() + 20;
    while (this->loop.clock.MonotonicMs() < end_ms) {
    }
  }

  Loop loop;
  Answers service;
  std::unique_ptr<HttpServer> server;
  HttpRequest request;
};

Test(a_request_that_came_before_the_close, counts_as_undelivered) {
  Fixture f;
  SlowClient caller(f.request);
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1));
  caller.Send(tests::BytesOf(f.request));
  f.WaitForArrival();
  cr_assert(f.server->UndeliveredCount() == 1);
}

Test(a_request_that_came_before_the_close, is_answered) {
  Fixture f;
  SlowClient caller(f.request);
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1));
  caller.Send(tests::BytesOf(f.request));
  f.WaitForArrival();
  f.server->CloseConnections();
  cr_assert(f.HasAnswers(caller, 2));
  cr_assert(f.service.served == 2);
}

Test(a_request_on_a_new_connection, is_answered_while_a_server_closes) {
  Fixture f;
  f.server->CloseConnections();
  SlowClient caller(f.request);
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1));
}

Test(a_request_that_nobody_read, is_reset_when_its_server_goes) {
  Fixture f;
  SlowClient caller(f.request);
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1));
  caller.Send(tests::BytesOf(f.request));
  f.WaitForArrival();
  f.server.reset();
  cr_assert(
      f.loop.Until([&] { return caller.Ended() != SlowClient::End::kOpen; }));
  cr_assert(caller.Ended() == SlowClient::End::kReset);
}

Test(a_connection_without_a_request, does_not_count_as_undelivered) {
  Fixture f;
  f.server->CloseConnections();
  HttpRequest silent = f.request;
  SlowClient caller(silent, SlowClient::FirstSent::kNothing);
  cr_assert(f.loop.Until([&] { return f.server->Connections() == 1; }));
  cr_assert(f.server->UndeliveredCount() == 0);
}

Test(a_response_written_in_the_last_event_loop_turn, reaches_its_caller) {
  Fixture f;
  f.service.keeps = true;
  SlowClient caller(f.request);
  cr_assert(f.IsServed(1));
  f.service.kept->SendWhole({200, "text/plain", {}, "aend"});
  f.server.reset();
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1), "%zu bytes came", caller.Got().size());
}

Test(a_caller_that_has_finished_sending, gets_what_is_written) {
  Fixture f;
  f.service.bytes = kLong;
  SlowClient caller(f.request);
  cr_assert(f.IsServed(1));
  caller.FinishSending();
  f.WaitForArrival();
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1), "%zu bytes came", caller.Got().size());
}

Test(a_caller_that_has_finished_sending,
     is_taken_for_disconnected_while_it_waits) {
  Fixture f;
  f.service.keeps = true;
  SlowClient caller(f.request);
  cr_assert(f.IsServed(1));
  caller.FinishSending();
  cr_assert(f.loop.Until([&] { return f.service.kept->IsClosed(); }));
}

}  // namespace
}  // namespace meadowthread
