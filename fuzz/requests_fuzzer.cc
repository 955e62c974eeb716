// What callers send: the same requests are served however the bytes arrive, and
// nothing is served after a refusal.
#include <memory>
#include <string>

#include "fuzz/fuzz_input.h"
#include "net/tests/played_connection.h"

namespace meadowthread {
namespace {

// Small enough that the fuzzer reaches the bounds.
constexpr std::int64_t kHeadLimit = 512;
constexpr std::int64_t kBodyLimit = 256;

ServerLimits SmallLimits() {
  ServerLimits limits;
  limits.max_header_bytes = kHeadLimit;
  limits.max_body_bytes = kBodyLimit;
  return limits;
}

class Story final : public testing::PlayedConnection {
 public:
  Story() : PlayedConnection(SmallLimits()) {}

  /// @brief Method, target, headers and body of each request that was served.
  const std::string& Served() const { return this->served; }

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override {
    fuzz::Require(!this->IsClosed(),
                  "a request is served after the last answer");
    fuzz::Require(request.target.starts_with('/'), "a target is no path");
    fuzz::Require(request.body.size() <= static_cast<std::size_t>(kBodyLimit),
                  "a body passed its bound");
    this->served += request.method + ' ' + request.target + '\n';
    for (const HttpHeader& header : request.headers) {
      fuzz::Require(header.value.find('\n') == std::string::npos,
                    "a header holds a line end");
      this->served += header.name + ':' + header.value + '\n';
    }
    this->served += request.body + '\n';
    writer->SendWhole({});
  }

 private:
  std::string served;
};

}  // namespace
}  // namespace meadowthread

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using meadowthread::Story;
  const std::string_view text = meadowthread::fuzz::TextOf(data, size);
  Story whole;
  whole.Feed(text);
  Story pieces;
  for (const char& byte : text) {
    pieces.Feed({&byte, 1});
  }
  meadowthread::fuzz::Require(whole.Served() == pieces.Served(),
                              "pieces are read otherwise than the whole");
  return 0;
}
