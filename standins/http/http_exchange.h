#ifndef MEADOWTHREAD_STANDINS_HTTP_HTTP_EXCHANGE_H_
#define MEADOWTHREAD_STANDINS_HTTP_HTTP_EXCHANGE_H_

#include <QPointer>
#include <QTcpSocket>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/http_message.h"

namespace meadowthread::standins {

/// @brief The response side of one HTTP request.
///
/// May outlive its connection: once that is closed, writes do nothing.
class HttpExchange {
 public:
  explicit HttpExchange(QTcpSocket* socket);
  ~HttpExchange();

  /// @brief Sends a complete response; the connection stays open.
  void Send(const Reply& reply);

  /// @brief Sends the head of a chunked response together with a first chunk.
  void StartStream(std::string_view content_type, std::string_view first);

  /// @brief Sends one chunk.
  void SendChunk(std::string_view data);

  /// @brief Ends a chunked response.
  void EndStream();

  /// @brief Ends a chunked response; closes the connection once it is sent.
  void EndStreamAndClose();

  /// @brief Closes the connection at once, even within a response.
  void Abort();

  /// @brief While corked, bytes are buffered instead of sent.
  void SetCorked(bool is_corked);

  /// @brief Whether the connection is open.
  bool IsOpen() const;

  /// @brief Whether the response is complete.
  bool IsAnswered() const { return this->answered; }

  /// @brief Bytes that are not yet written to the socket.
  std::int64_t PendingBytes() const;

  /// @brief Sets the callback for a connection that closes before the response
  /// is complete; called at most once.
  void OnClosed(std::function<void()> callback);

 private:
  void Write(std::string_view data);

  QPointer<QTcpSocket> socket;
  QMetaObject::Connection closed_connection;
  std::string corked_data;
  std::string frame;  ///< reused buffer; frames a chunk as one write
  bool corked = false;
  bool answered = false;
};

using ExchangePtr = std::shared_ptr<HttpExchange>;

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_HTTP_EXCHANGE_H_
