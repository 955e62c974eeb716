#ifndef MEADOWTHREAD_NET_TESTS_PLAYED_CONNECTION_H_
#define MEADOWTHREAD_NET_TESTS_PLAYED_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/server_connection.h"

namespace meadowthread::testing {

/// @brief A caller's connection without a socket: the test is the caller and,
/// in what inherits from this, the service.
class PlayedConnection : public detail::ConnectionHost, public HttpService {
 public:
  /// @param[in] now_ms the clock's time, which Look moves on
  explicit PlayedConnection(const ServerLimits& with = {},
                            std::int64_t now_ms = 0)
      : limits(with), now_ms(now_ms) {
    auto made = std::make_unique<Socket>(*this);
    this->connection =
        std::make_shared<detail::ServerConnection>(*this, std::move(made));
    this->connection->Begin();
  }

  void Feed(std::string_view bytes) { this->connection->OnBytes(bytes); }
  void Leave() { this->connection->OnEnded(SocketEnd::kReset); }

  /// @brief All that was written to the caller.
  const std::string& Got() const { return this->got; }
  /// @brief Whether the server closed or broke it.
  bool IsClosed() const { return this->closed; }

  /// @brief How much of what was written the caller has yet to take.
  void SetPending(std::int64_t bytes) { this->pending = bytes; }
  /// @brief For how long the caller's kernel acknowledged nothing; until then
  /// nobody tells.
  void SetSilent(std::int64_t ms) { this->silent_ms = ms; }
  /// @brief The server looks at its time limits.
  void Look(std::int64_t at_ms) {
    this->now_ms = at_ms;
    this->connection->CheckTime(at_ms);
  }
  void Drain() {
    this->pending = 0;
    this->connection->OnDrained();
  }

  const ServerLimits& Limits() const override { return this->limits; }
  std::int64_t NowMs() const override { return this->now_ms; }
  HttpService& Service() override { return *this; }
  bool IsClosing() const override { return false; }
  bool Hold(std::int64_t) override { return true; }
  void Release(std::int64_t) override {}
  void NoteCut() override {}
  void Forget(StreamSocketHandler*) override {}

 private:
  class Socket final : public StreamSocket {
   public:
    explicit Socket(PlayedConnection& owner) : owner(owner) {}
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
    PlayedConnection& owner;
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

#endif  // MEADOWTHREAD_NET_TESTS_PLAYED_CONNECTION_H_
