// Connections that are open while the server's limits change.
#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "net/server_connection.h"
#include "net/tests/server_connection_harness.h"

namespace meadowthread {
namespace {

/// @brief A service whose limits can be changed.
struct ChangingLimitsService final : testing::ServerConnectionHarness {
  explicit ChangingLimitsService(const ServerLimits& at_opening)
      : ServerConnectionHarness(at_opening), limits(at_opening) {}

  const ServerLimits& Limits() const override { return this->limits; }
  void Serve(const ServerRequest&,
             std::unique_ptr<ResponseWriter> writer) override {
    writer->SendWhole({200, "text/plain", {}, "ok"});
  }
  void AskWithHead(std::size_t bytes) {
    this->Feed("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(bytes, 'x') +
               "\r\n\r\n");
  }
  bool Has(std::string_view text) const {
    return this->Got().find(text) != std::string::npos;
  }

  ServerLimits limits;
};

// Guards against refusing heads that the configuration in force allows: a
// connection kept the limit with which it was opened.
Test(a_kept_connection, allows_longer_heads_once_the_limit_is_raised) {
  ChangingLimitsService service({.max_header_bytes = 1'000});
  service.AskWithHead(100);
  service.limits.max_header_bytes = 4'000;
  service.AskWithHead(3'000);
  cr_assert(service.Has("HTTP/1.1 200") && !service.Has("HTTP/1.1 431"));
}

Test(a_kept_connection, refuses_longer_heads_once_the_limit_is_lowered) {
  ChangingLimitsService service({.max_header_bytes = 4'000});
  service.AskWithHead(3'000);
  cr_assert(!service.Has("HTTP/1.1 431"));
  service.limits.max_header_bytes = 1'000;
  service.AskWithHead(3'000);
  cr_assert(service.Has("HTTP/1.1 431"));
}

}  // namespace
}  // namespace meadowthread
