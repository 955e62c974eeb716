// What a caller gets whose own bytes cross the end of its connection: requests
// that came before it are answered, one that nobody read is not taken silently,
// and what the caller sends or no longer sends costs it no answer. Before, a
// request that the kernel held at a close was read, dropped and told nothing;
// of 6,000,000 bytes that were written a caller that had finished sending got
// 2,177,024; and an answer that was given in the process's last turn was still
// in its buffer: no byte of it came, though its caller read at once.
#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "net/http_server.h"
#include "net/tests/raw_peer.h"
#include "net/tests/slow_caller.h"

namespace meadowthread {
namespace {

using tests::Loop;
using tests::SlowCaller;

constexpr std::size_t kShort = 100;
// More than the kernel takes of one connection.
constexpr std::size_t kLong = 6'000'000;
constexpr std::size_t kAll = 1'000'000;

// Answers at once, or keeps the writer where it is told to.
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
  bool HasAnswers(const SlowCaller& caller, int count) {
    return this->loop.Until([&] {
      int ends = 0;
      for (std::size_t at = caller.Got().find("aend"); at != std::string::npos;
           at = caller.Got().find("aend", at + 1)) {
        ++ends;
      }
      return ends == count || caller.Ended() != SlowCaller::End::kOpen;
    }) && caller.Got().ends_with("aend");
  }
  /// @brief Until what a caller has just sent lies in the server's kernel; the
  /// server's own loop does not run meanwhile.
  void LetItArrive() const {
    const std::int64_t end_ms = this->loop.clock.MonotonicMs() + 20;
    while (this->loop.clock.MonotonicMs() < end_ms) {
    }
  }

  Loop loop;
  Answers service;
  std::unique_ptr<HttpServer> server;
  HttpRequest request;
};

Test(a_request_that_came_before_the_close, is_owed_an_answer) {
  Fixture f;
  SlowCaller caller(f.request);
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1));
  caller.Send(tests::BytesOf(f.request));
  f.LetItArrive();
  cr_assert(f.server->Owed() == 1);
}

Test(a_request_that_came_before_the_close, is_answered) {
  Fixture f;
  SlowCaller caller(f.request);
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1));
  caller.Send(tests::BytesOf(f.request));
  f.LetItArrive();
  f.server->CloseConnections();
  cr_assert(f.HasAnswers(caller, 2));
  cr_assert(f.service.served == 2);
}

Test(a_request_on_a_new_connection, is_answered_while_a_server_closes) {
  Fixture f;
  f.server->CloseConnections();
  SlowCaller caller(f.request);
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1));
}

Test(a_request_that_nobody_read, is_reset_when_its_server_goes) {
  Fixture f;
  SlowCaller caller(f.request);
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1));
  caller.Send(tests::BytesOf(f.request));
  f.LetItArrive();
  f.server.reset();
  cr_assert(
      f.loop.Until([&] { return caller.Ended() != SlowCaller::End::kOpen; }));
  cr_assert(caller.Ended() == SlowCaller::End::kReset);
}

Test(a_connection_that_asks_for_nothing, is_owed_nothing) {
  Fixture f;
  f.server->CloseConnections();
  HttpRequest silent = f.request;
  SlowCaller caller(silent, SlowCaller::Sends::kNothing);
  cr_assert(f.loop.Until([&] { return f.server->Connections() == 1; }));
  cr_assert(f.server->Owed() == 0);
}

Test(an_answer_of_a_servers_last_turn, reaches_its_caller) {
  Fixture f;
  f.service.keeps = true;
  SlowCaller caller(f.request);
  cr_assert(f.IsServed(1));
  f.service.kept->SendWhole({200, "text/plain", {}, "aend"});
  f.server.reset();
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1), "%zu bytes came", caller.Got().size());
}

Test(a_caller_that_has_finished_sending, gets_what_is_written) {
  Fixture f;
  f.service.bytes = kLong;
  SlowCaller caller(f.request);
  cr_assert(f.IsServed(1));
  caller.FinishSending();
  f.LetItArrive();
  caller.Read(kAll);
  cr_assert(f.HasAnswers(caller, 1), "%zu bytes came", caller.Got().size());
}

Test(a_caller_that_has_finished_sending, is_taken_for_gone_while_it_waits) {
  Fixture f;
  f.service.keeps = true;
  SlowCaller caller(f.request);
  cr_assert(f.IsServed(1));
  caller.FinishSending();
  cr_assert(f.loop.Until([&] { return f.service.kept->IsClosed(); }));
}

}  // namespace
}  // namespace meadowthread
