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

namespace meadowthread::detail {

/// @brief Where a URL leads.
struct UrlParts {
  bool tls = false;
  std::string host;
  std::uint16_t port = 0;
  std::string authority;  ///< host and port as given, for the Host header
  std::string target;     ///< path and query, byte for byte

  /// @brief Names the peer in the pool.
  std::string PoolKey() const;
};

/// @brief Splits a URL; an empty host where it is none.
UrlParts SplitUrl(std::string_view url);

class ClientConnection;

/// @brief How an exchange on a connection ended.
struct ExchangeEnd {
  HttpEnd end;
  bool answered = false;  ///< a byte of an answer came
  bool reusable = false;
};

/// @brief Told of an exchange; these calls may destroy the connection later in
/// the turn, never at once.
class ExchangeOwner {
 public:
  virtual ~ExchangeOwner() = default;
  virtual void OnExchangeHead(ClientConnection& from, int http_status,
                              const MessageHead& head) = 0;
  virtual void OnExchangeData(ClientConnection& from,
                              std::string_view data) = 0;
  virtual void OnExchangeEnd(ClientConnection& from,
                             const ExchangeEnd& end) = 0;
  virtual void OnAnswerPassedOver(ClientConnection& from) = 0;
  /// @brief A resting connection ended, or spoke without being asked.
  virtual void OnRestEnded(ClientConnection& from) = 0;
};

/// @brief One connection to a peer: one exchange at a time.
class ClientConnection final : public StreamSocketHandler {
 public:
  /// @param[in] owner outlives the connection
  ClientConnection(ExchangeOwner& owner, UrlParts peer,
                   std::unique_ptr<StreamSocket> socket);
  ~ClientConnection() override = default;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// @brief Sends a request; the connection must rest or be new.
  void Begin(HttpCallId for_call, const HttpRequest& request,
             const UrlParts& url);

  /// @brief The exchange is over and the connection waits for its next one.
  void Rest() { this->call = 0; }

  /// @brief Forgets the exchange and breaks the connection.
  void Drop();

  /// @brief Ends the exchange with an error.
  void Fail(ErrorId id, std::string_view what);

  void SetPaused(bool paused) { this->socket->SetPaused(paused); }

  HttpCallId Call() const { return this->call; }
  const UrlParts& Peer() const { return this->peer; }
  bool IsConnected() const { return this->connected; }
  bool IsQuiet() const { return this->socket->IsQuiet(); }
  bool WasUsed() const { return this->exchanges > 1; }

  /// @brief How long the peer keeps it at rest, milliseconds.
  std::int64_t RestLimitMs() const { return this->rest_limit_ms; }

  // StreamSocketHandler
  void OnConnected() override { this->connected = true; }
  void OnBytes(std::string_view bytes) override;
  void OnEnded(SocketEnd end) override;

 private:
  void Pump(ReadState state);
  bool TellHead();
  bool BelongsToAnother(const MessageHead& head) const;
  void FinishWhole(bool by_close);
  void Tell(const HttpEnd& end, bool reusable);
  bool MayHaveLeft() const;

  ExchangeOwner& owner;
  UrlParts peer;
  std::unique_ptr<StreamSocket> socket;
  MessageReader reader;
  HttpCallId call = 0;
  HttpHeader echo;
  bool connected = false;
  bool head_told = false;
  bool passing_over = false;
  bool answered = false;
  int exchanges = 0;
  int http_status = 0;
  std::int64_t sent_before = 0;
  std::int64_t rest_limit_ms = 0;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_CLIENT_CONNECTION_H_
