// Requests that a client sends without waiting for the answers.
#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "net/server_connection.h"
#include "net/tests/server_connection_harness.h"

namespace meadowthread {
namespace {

/// @brief A service that holds the first request and answers the others at
/// once.
struct HoldFirstService final : testing::ServerConnectionHarness {
  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override {
    ++this->served;
    if (this->served == 1) {
      this->first = std::move(writer);
    } else {
      this->last_path = request.path;
      writer->SendWhole({200, "text/plain", {}, "ok"});
    }
  }

  void AnswerFirst() { this->first->SendWhole({200, "text/plain", {}, "ok"}); }

  std::unique_ptr<ResponseWriter> first;
  int served = 0;
  std::string last_path;
};

constexpr int kRequests = 20'000;

std::string Requests(int count) {
  std::string bytes;
  for (int n = 0; n < count; ++n) {
    bytes += "GET /" + std::to_string(n) + " HTTP/1.1\r\nHost:a\r\n\r\n";
  }
  return bytes;
}

// Guards against a stack overflow: each request was served within the end of
// the one before.
Test(pipelined_requests, of_any_number_are_served_one_after_the_other) {
  HoldFirstService service;
  service.Feed(Requests(kRequests));
  cr_assert(service.served == 1, "the others wait");
  service.AnswerFirst();
  cr_assert(service.served == kRequests);
  cr_assert(service.last_path == "/" + std::to_string(kRequests - 1));
}

Test(pipelined_requests, after_a_malformed_one_are_not_served) {
  HoldFirstService service;
  service.Feed(Requests(3) + "GET\r\n\r\n" + Requests(3));
  service.AnswerFirst();
  cr_assert(service.served == 3 && service.IsClosed());
  cr_assert(service.Got().find("HTTP/1.1 400") != std::string::npos);
}

Test(pipelined_requests, are_not_served_once_the_client_has_left) {
  HoldFirstService service;
  service.Feed(Requests(3));
  service.Leave();
  cr_assert(service.served == 1);
}

}  // namespace
}  // namespace meadowthread
