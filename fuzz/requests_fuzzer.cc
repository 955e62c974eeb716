// What callers send: the same requests are served however the bytes arrive, and
// nothing is served after a refusal.
#include <memory>
#include <string>
#include <vector>

#include "fuzz/fuzz_input.h"
#include "net/server_connection.h"

namespace meadowthread {
namespace {

// Small enough that the fuzzer reaches the bounds.
constexpr std::int64_t kHeadLimit = 512;
constexpr std::int64_t kBodyLimit = 256;

class Story final : public detail::ConnectionHost, public HttpService {
 public:
  Story() {
    this->limits.max_header_bytes = kHeadLimit;
    this->limits.max_body_bytes = kBodyLimit;
    auto socket = std::make_unique<Socket>();
    socket->story = this;
    this->connection =
        std::make_shared<detail::ServerConnection>(*this, std::move(socket));
    this->connection->Begin();
  }

  void Feed(std::string_view bytes) { this->connection->OnBytes(bytes); }

  /// @brief Method, target, headers and body of each request that was served.
  const std::string& Served() const { return this->served; }

  const ServerLimits& Limits() const override { return this->limits; }
  std::int64_t NowMs() const override { return 0; }
  HttpService& Service() override { return *this; }
  bool IsClosing() const override { return false; }
  bool Hold(std::int64_t) override { return true; }
  void Release(std::int64_t) override {}
  void Forget(StreamSocketHandler*) override {}

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override {
    fuzz::Require(!this->closing, "a request is served after the last answer");
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
  class Socket final : public StreamSocket {
   public:
    void SetHandler(StreamSocketHandler*) override {}
    void Write(std::string_view) override {}
    void SetPaused(bool) override {}
    void CloseWhenDrained() override { this->story->closing = true; }
    void Abort() override { this->story->closing = true; }
    std::int64_t PendingBytes() const override { return 0; }
    std::int64_t SentBytes() const override { return 0; }
    bool IsQuiet() const override { return true; }
    std::string Peer() const override { return "fuzz"; }
    Story* story = nullptr;
  };

  ServerLimits limits;
  std::string served;
  bool closing = false;
  std::shared_ptr<detail::ServerConnection> connection;
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
