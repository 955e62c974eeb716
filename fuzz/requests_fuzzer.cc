// Fuzzes the HTTP server's parsing of callers' requests: the requests served
// must not depend on how the bytes are split, and none is served after a
// refusal.
#include <memory>
#include <string>

#include "fuzz/fuzz_input.h"
#include "net/tests/server_connection_harness.h"

namespace meadowthread {
namespace {

// Small enough for the fuzzer to reach the limits.
constexpr std::int64_t kHeadLimit = 512;
constexpr std::int64_t kBodyLimit = 256;

ServerLimits SmallLimits() {
  ServerLimits limits;
  limits.max_header_bytes = kHeadLimit;
  limits.max_body_bytes = kBodyLimit;
  return limits;
}

class RequestRecorder final : public testing::ServerConnectionHarness {
 public:
  RequestRecorder() : ServerConnectionHarness(SmallLimits()) {}

  /// @brief Method, target, headers and body of each served request.
  const std::string& Served() const { return this->served; }

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override {
    fuzz::Require(!this->IsClosed(),
                  "a request is served after the connection was closed");
    fuzz::Require(request.target.starts_with('/'),
                  "a request target is not a path");
    fuzz::Require(request.body.Size() <= static_cast<std::size_t>(kBodyLimit),
                  "a body exceeds its limit");
    this->served += request.method + ' ' + request.target + '\n';
    for (const HttpHeader& header : request.headers) {
      fuzz::Require(header.value.find('\n') == std::string::npos,
                    "a header value contains a line break");
      this->served += header.name + ':' + header.value + '\n';
    }
    this->served += request.body.Str() + '\n';
    writer->SendWhole({});
  }

 private:
  std::string served;
};

}  // namespace
}  // namespace meadowthread

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using meadowthread::RequestRecorder;
  const std::string_view text = meadowthread::fuzz::TextOf(data, size);
  RequestRecorder whole;
  whole.Feed(text);
  RequestRecorder pieces;
  for (const char& byte : text) {
    pieces.Feed({&byte, 1});
  }
  meadowthread::fuzz::Require(
      whole.Served() == pieces.Served(),
      "the served requests depend on how the bytes are split");
  return 0;
}
