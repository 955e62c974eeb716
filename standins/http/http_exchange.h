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

/// @brief The answering side of one request.
///
/// It outlives its connection: once that is gone, writing does nothing.
class HttpExchange {
 public:
  explicit HttpExchange(QTcpSocket* socket);
  ~HttpExchange();

  /// @brief Sends a whole answer; the connection stays open for the next.
  void Send(const Reply& reply);

  /// @brief Sends the head of a chunked answer together with a first chunk.
  void StartStream(std::string_view content_type, std::string_view first);

  /// @brief Sends one chunk.
  void SendChunk(std::string_view data);

  /// @brief Ends a chunked answer.
  void EndStream();

  /// @brief Ends a chunked answer and closes the connection once it has left.
  void EndStreamAndClose();

  /// @brief Closes the connection at once, whatever was answered.
  void Abort();

  /// @brief While corked, bytes are kept instead of sent.
  void SetCorked(bool is_corked);

  /// @brief Whether the connection stands.
  bool IsOpen() const;

  /// @brief Whether the answer is whole.
  bool IsAnswered() const { return this->answered; }

  /// @brief Bytes waiting for a slow reader.
  std::int64_t PendingBytes() const;

  /// @brief Told once when the connection closes before the answer is whole.
  void OnClosed(std::function<void()> callback);

 private:
  void Write(std::string_view data);

  QPointer<QTcpSocket> socket;
  QMetaObject::Connection closed_connection;
  std::string held;
  std::string frame;  ///< reused for framing, so that a chunk is one write
  bool corked = false;
  bool answered = false;
};

using ExchangePtr = std::shared_ptr<HttpExchange>;

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_HTTP_EXCHANGE_H_
