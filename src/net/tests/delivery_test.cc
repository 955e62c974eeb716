// An answer counts as delivered when its caller's kernel has it. A second after
// the process had written the last bytes of a connection's last answer the
// connection was reset, whatever of them was still on its way: a caller that
// read 20 kB a second lost the rest of what it had asked for, also where
// nothing stopped. The log said so once it told what a broken connection held:
//   event=answer-cut ... why=caller_does_not_close written=whole unsent=0
//     unacknowledged=38439 unread=0
#include <criterion/criterion.h>

#include <memory>

#include "net/http_server.h"
#include "net/tests/played_connection.h"
#include "net/tests/raw_peer.h"
#include "net/tests/slow_caller.h"

namespace meadowthread {
namespace {

using tests::Loop;
using tests::SlowCaller;

constexpr std::size_t kAnswerBytes = 80'000;
constexpr std::int64_t kRestMs = 9'000;

// Answers each request with a long body at once.
struct LongAnswers final : public HttpService {
  void Serve(const ServerRequest&,
             std::unique_ptr<ResponseWriter> writer) override {
    ++this->served;
    writer->SendWhole(
        {200, "text/plain", {}, std::string(kAnswerBytes, 'a') + "end"});
  }
  int served = 0;
};

struct Fixture {
  Fixture()
      : server(std::make_unique<HttpServer>(&this->service, ServerLimits{})) {
    this->request.method = "GET";
    this->request.url =
        "http://127.0.0.1:" +
        std::to_string(*this->server->Listen("127.0.0.1", 0, {})) + "/x";
  }

  bool IsServed(int times = 1) {
    return this->loop.Until([&] { return this->service.served == times; });
  }
  bool IsOver(const SlowCaller& caller) {
    return this->loop.Until(
        [&] { return caller.Ended() != SlowCaller::End::kOpen; });
  }
  static bool HasAll(const SlowCaller& caller) {
    return caller.Got().ends_with("aend") && caller.Got().size() > kAnswerBytes;
  }

  Loop loop;
  LongAnswers service;
  std::unique_ptr<HttpServer> server;
  HttpRequest request;
};

Test(a_slow_caller, gets_the_whole_last_answer_of_its_connection) {
  Fixture f;
  f.request.headers = {{"Connection", "close"}};
  SlowCaller caller(f.request);
  cr_assert(f.IsServed());
  // 40 kB a second: two seconds
  caller.Read(400);
  cr_assert(f.IsOver(caller));
  cr_assert(Fixture::HasAll(caller), "%zu bytes came", caller.Got().size());
}

// The kernel's limit for bytes that a peer does not take counted a window that
// was closed most of the time as silence: after 6 s the rest was lost.
Test(a_slow_caller, gets_a_whole_answer_that_its_kernel_takes_for_long) {
  Fixture f;
  f.request.headers = {{"Connection", "close"}};
  SlowCaller caller(f.request);
  cr_assert(f.IsServed());
  // 8 kB a second: ten seconds
  caller.Read(80);
  cr_assert(f.IsOver(caller));
  cr_assert(Fixture::HasAll(caller), "%zu bytes came", caller.Got().size());
}

// The kernel's limit for bytes that a peer does not take, 6 s, counted for a
// caller that answered each of its probes: of 80 kB it had got 2,048 bytes.
Test(a_slow_caller, that_does_not_read_for_nine_seconds_gets_its_answer) {
  Fixture f;
  SlowCaller caller(f.request);
  cr_assert(f.IsServed());
  f.loop.Until([] { return false; }, kRestMs);
  caller.Read(20'000);
  cr_assert(f.loop.Until([&] {
    return Fixture::HasAll(caller) || caller.Ended() != SlowCaller::End::kOpen;
  }));
  cr_assert(Fixture::HasAll(caller), "%zu bytes came", caller.Got().size());
}

// Answers when the test says so.
struct PlayedAnswer final : public testing::PlayedConnection {
  using PlayedConnection::PlayedConnection;
  void Serve(const ServerRequest&,
             std::unique_ptr<ResponseWriter> with) override {
    this->writer = std::move(with);
  }
  std::unique_ptr<ResponseWriter> writer;
};

Test(a_caller_that_takes_nothing, has_its_time_from_its_first_byte_on) {
  // given a connection that is new to a host which runs for long
  constexpr std::int64_t kNowMs = 1'000'000;
  PlayedAnswer caller(ServerLimits{}, kNowMs);
  caller.Feed("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.SetPending(100);
  // when the server looks while the answer's first bytes are on their way
  caller.Look(kNowMs + 1);
  // then the caller has its time
  cr_assert(!caller.IsClosed());
  caller.Look(kNowMs + 5'900);
  cr_assert(!caller.IsClosed());
  caller.Look(kNowMs + 6'100);
  cr_assert(caller.IsClosed());
}

Test(a_caller_that_takes_nothing, is_given_up_also_where_more_is_written) {
  constexpr std::int64_t kNowMs = 1'000'000;
  PlayedAnswer caller(ServerLimits{}, kNowMs);
  caller.Feed("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  for (const std::int64_t second : {0, 1, 2, 3, 4, 5, 6}) {
    caller.SetPending(100 * (second + 1));
    caller.Look(kNowMs + 1'000 * second);
    cr_assert(!caller.IsClosed());
  }
  caller.Look(kNowMs + 6'100);
  cr_assert(caller.IsClosed());
}

Test(a_caller_that_takes_nothing, may_rest_while_its_kernel_answers_probes) {
  constexpr std::int64_t kNowMs = 1'000'000;
  PlayedAnswer caller(ServerLimits{}, kNowMs);
  caller.SetSilent(100);
  caller.Feed("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.SetPending(100);
  caller.Look(kNowMs + 1);
  caller.Look(kNowMs + 59'900);
  cr_assert(!caller.IsClosed());
  // and is given up in the end, or as soon as its kernel is silent
  PlayedAnswer silent(ServerLimits{}, kNowMs);
  silent.Feed("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  silent.SetPending(100);
  silent.Look(kNowMs + 1);
  silent.SetSilent(6'100);
  silent.Look(kNowMs + 6'100);
  cr_assert(silent.IsClosed());
  caller.Look(kNowMs + 60'100);
  cr_assert(caller.IsClosed());
}

Test(a_server, owes_an_answer_until_its_caller_has_it) {
  Fixture f;
  SlowCaller caller(f.request);
  cr_assert(f.IsServed());
  cr_assert(f.server->Owed() == 1);
  caller.Read(20'000);
  cr_assert(f.loop.Until([&] { return f.server->Owed() == 0; }));
  cr_assert(f.loop.Until([&] { return Fixture::HasAll(caller); }));
  cr_assert(caller.Ended() == SlowCaller::End::kOpen);
}

Test(a_server, owes_an_answer_to_a_request_that_was_begun) {
  Fixture f;
  SlowCaller caller(f.request);
  caller.Read(20'000);
  cr_assert(f.IsServed());
  cr_assert(f.loop.Until([&] { return f.server->Owed() == 0; }));
  caller.Send("GET /second HTTP/1.1\r\n");
  cr_assert(f.loop.Until([&] { return f.server->Owed() == 1; }));
  caller.Send("Host: a\r\n\r\n");
  cr_assert(f.IsServed(2));
  cr_assert(f.loop.Until([&] { return f.server->Owed() == 0; }));
}

Test(a_server_that_goes, leaves_its_answers_to_the_kernel) {
  Fixture f;
  SlowCaller caller(f.request);
  cr_assert(f.IsServed());
  cr_assert(f.loop.Until([&] { return f.server->Owed() == 1; }));
  f.server.reset();
  caller.Read(20'000);
  cr_assert(f.IsOver(caller));
  cr_assert(Fixture::HasAll(caller), "%zu bytes came", caller.Got().size());
  cr_assert(caller.Ended() == SlowCaller::End::kFinished);
}

Test(a_server_that_goes, does_so_also_where_its_caller_has_sent_more) {
  Fixture f;
  SlowCaller caller(f.request);
  cr_assert(f.IsServed());
  cr_assert(f.loop.Until([&] { return f.server->Owed() == 1; }));
  caller.Send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
  f.server.reset();
  caller.Read(20'000);
  cr_assert(f.IsOver(caller));
  cr_assert(Fixture::HasAll(caller), "%zu bytes came", caller.Got().size());
}

Test(a_caller_that_left_with_a_reset, is_no_answer_that_its_server_cut) {
  Fixture f;
  {
    const SlowCaller caller(f.request);
    cr_assert(f.IsServed());
  }
  cr_assert(f.loop.Until([&] { return f.server->Connections() == 0; }));
  cr_assert(f.server->AnswersCut() == 0);
}

}  // namespace
}  // namespace meadowthread
