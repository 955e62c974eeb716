#ifndef MEADOWTHREAD_NET_TESTS_SERVER_CONNECTION_HARNESS_H_
#define MEADOWTHREAD_NET_TESTS_SERVER_CONNECTION_HARNESS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/server_connection.h"

namespace meadowthread::testing {

/// @brief A ServerConnection on a fake socket. The test acts as the client; a
/// derived class implements the service.
class ServerConnectionHarness : public detail::ServerContext,
                                public HttpService {
 public:
  /// @param[in] now_ms initial time of the fake clock, which Look sets
  explicit ServerConnectionHarness(const ServerLimits& with = {},
                                   std::int64_t now_ms = 0)
      : limits(with), now_ms(now_ms) {
    auto made = std::make_unique<Socket>(*this);
    this->connection =
        std::make_shared<detail::ServerConnection>(*this, std::move(made));
    this->connection->Begin();
  }

  void Feed(std::string_view bytes) { this->connection->OnBytes(bytes); }
  void Leave() { this->connection->OnEnded(SocketEnd::kReset); }

  /// @brief All bytes written to the client.
  const std::string& Got() const { return this->got; }
  /// @brief Whether the server closed or aborted the connection.
  bool IsClosed() const { return this->closed; }

  /// @brief Sets how many written bytes are not yet sent.
  void SetPending(std::int64_t bytes) { this->pending = bytes; }
  /// @brief Sets for how long the client's kernel has acknowledged nothing;
  /// unknown until set.
  void SetSilent(std::int64_t ms) { this->silent_ms = ms; }
  /// @brief Sets the clock and lets the connection check its timeouts.
  void Look(std::int64_t at_ms) {
    this->now_ms = at_ms;
    this->connection->CheckTimeouts(at_ms);
  }
  void Drain() {
    this->pending = 0;
    this->connection->OnDrained();
  }

  const ServerLimits& Limits() const override { return this->limits; }
  std::int64_t NowMs() const override { return this->now_ms; }
  HttpService& Service() override { return *this; }
  bool IsClosing() const override { return false; }
  bool ReserveBytes(std::int64_t) override { return true; }
  void ReleaseBytes(std::int64_t) override {}
  void CountInterruptedResponse() override {}
  void RemoveConnection(StreamSocketHandler*) override {}

 private:
  class Socket final : public StreamSocket {
   public:
    explicit Socket(ServerConnectionHarness& owner) : owner(owner) {}
    void SetHandler(StreamSocketHandler*) override {}
    void Write(std::string_view bytes) override {
      this->owner.got.append(bytes);
    }
    void SetPaused(bool) override {}
    void CloseWhenDrained() override { this->owner.closed = true; }
    void CloseNow() override { this->owner.closed = true; }
    void Abort() override { this->owner.closed = true; }
    std::int64_t PendingBytes() const override { return this->owner.pending; }
    std::int64_t SentBytes() const override { return 0; }
    SocketBacklog Backlog() const override {
      return {this->owner.pending, 0, 0, this->owner.silent_ms};
    }
    bool IsQuiet() const override { return true; }
    std::string Peer() const override { return "test"; }

   private:
    ServerConnectionHarness& owner;
  };

  ServerLimits limits;
  std::int64_t now_ms;
  std::string got;
  bool closed = false;
  std::int64_t pending = 0;
  std::int64_t silent_ms = -1;
  std::shared_ptr<detail::ServerConnection> connection;
};

}  // namespace meadowthread::testing

#endif  // MEADOWTHREAD_NET_TESTS_SERVER_CONNECTION_HARNESS_H_
