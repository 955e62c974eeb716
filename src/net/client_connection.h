#ifndef MEADOWTHREAD_NET_CLIENT_CONNECTION_H_
#define MEADOWTHREAD_NET_CLIENT_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "net/http_client.h"
#include "net/message_reader.h"
#include "net/stream_socket.h"
#include "net/unwanted_responses.h"

namespace meadowthread::detail {

/// @brief The parts of an http:// or https:// URL that a request needs.
struct UrlParts {
  bool tls = false;
  std::string host;
  std::uint16_t port = 0;
  std::string authority;  ///< host and port as in the URL, for the Host header
  std::string target;     ///< path and query, byte for byte

  /// @brief The key under which the connection pool keeps connections to this
  /// peer.
  std::string PoolKey() const;
};

/// @brief Splits a URL; `host` is empty if the URL is not valid.
UrlParts SplitUrl(std::string_view url);

class ClientConnection;

/// @brief How one request/response exchange on a connection ended.
struct ExchangeEnd {
  HttpCallResult end;
  bool answered = false;  ///< at least one byte of a response was received
  bool reusable = false;
};

/// @brief Callbacks for the events of an exchange. They must not destroy the
/// connection directly; it may be destroyed later in the same turn of the event
/// loop.
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  virtual void OnExchangeHead(ClientConnection& from, int http_status,
                              const MessageHead& head) = 0;
  virtual void OnExchangeData(ClientConnection& from,
                              std::string_view data) = 0;
  virtual void OnExchangeEnd(ClientConnection& from,
                             const ExchangeEnd& end) = 0;
  virtual void OnForeignResponse(ClientConnection& from) = 0;
  /// @brief An idle pooled connection was closed, or received bytes although no
  /// request was outstanding.
  virtual void OnIdleConnectionEnded(ClientConnection& from) = 0;
};

/// @brief A client's HTTP/1.1 connection to one peer. It carries one
/// request/response exchange at a time.
class ClientConnection final : public StreamSocketHandler {
 public:
  /// @param[in] owner outlives the connection
  ClientConnection(ExchangeObserver& owner, UrlParts peer,
                   std::unique_ptr<StreamSocket> socket);
  ~ClientConnection() override = default;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// @brief Sends a request; the connection must be idle or new.
  void Begin(HttpCallId for_call, const HttpRequest& request,
             const UrlParts& url);

  /// @brief Marks the connection as idle after an exchange.
  void MarkIdle() { this->call = 0; }

  /// @brief Aborts the connection without reporting the end of its exchange.
  void AbortSilently();

  /// @brief Reports the end of the exchange with an error.
  void Fail(ErrorId id, std::string_view what) {
    this->FailWith(id, what, false);
  }

  void SetPaused(bool paused) { this->socket->SetPaused(paused); }

  HttpCallId Call() const { return this->call; }
  const UrlParts& Peer() const { return this->peer; }
  bool IsConnected() const { return this->connected; }
  bool IsQuiet() const { return this->socket->IsQuiet(); }
  bool WasUsed() const { return this->exchanges > 1; }

  /// @brief How long the peer keeps the connection open while idle, in
  /// milliseconds.
  std::int64_t KeepAliveLimitMs() const { return this->keep_alive_limit_ms; }

  // StreamSocketHandler
  void OnConnected() override { this->connected = true; }
  void OnBytes(std::string_view bytes) override;
  void OnEnded(SocketEnd end) override;

 private:
  void ProcessMessages(ReadState state);
  bool ReportHead();
  bool ReportBody();
  bool SkipInterim();
  void FailAtLimit(std::string_view what) {
    this->FailWith(ErrorId::kPeerMalformed, what, true);
  }
  void FailWith(ErrorId id, std::string_view what, bool exceeded_limit);
  bool IsForeignResponse(const MessageHead& head) const;
  void FinishResponse(bool by_close);
  void ReportEnd(const HttpCallResult& end, bool reusable);
  bool MayHaveSentBytes() const;

  ExchangeObserver& owner;
  UrlParts peer;
  std::unique_ptr<StreamSocket> socket;
  MessageReader reader;
  HttpCallId call = 0;
  HttpHeader echo;
  bool connected = false;
  bool head_told = false;
  bool discarding = false;
  bool answered = false;
  UnwantedResponses unwanted;  ///< of the current exchange
  int exchanges = 0;
  int http_status = 0;
  std::int64_t sent_before = 0;
  std::int64_t keep_alive_limit_ms = 0;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_CLIENT_CONNECTION_H_
