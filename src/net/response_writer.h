#ifndef MEADOWTHREAD_NET_RESPONSE_WRITER_H_
#define MEADOWTHREAD_NET_RESPONSE_WRITER_H_

#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "net/http_client.h"

namespace meadowthread {

/// @brief A status and body to be sent in one piece.
struct WholeResponse {
  int http_status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

/// @brief Answers one request: in one piece, or as a chunked stream.
///
/// What is written within one turn of the event loop leaves as one chunk. The
/// connection takes its next request once the writer is gone.
class ResponseWriter : public QObject {
 public:
  ResponseWriter(QHttpServerResponder&& responder, QTcpSocket* socket);
  ~ResponseWriter() override;
  ResponseWriter(const ResponseWriter&) = delete;
  ResponseWriter& operator=(const ResponseWriter&) = delete;

  /////////////////////
  // Writing an answer
  /////////////////////

  /// @brief Sends a whole answer; nothing may be written afterwards.
  void SendWhole(const WholeResponse& response);

  /// @brief Sends the head of a streamed answer.
  void StartStream(int http_status, std::string_view content_type,
                   std::span<const HttpHeader> headers);

  /// @brief Appends to the stream.
  void Write(std::string_view data);

  /// @brief Ends the stream.
  void FinishStream();

  /// @brief Cuts the connection.
  void Abort();

  //////////////////////////
  // The caller's connection
  //////////////////////////

  /// @brief Bytes accepted and not yet taken by the caller's connection.
  std::int64_t PendingBytes() const;

  /// @brief Whether the caller is gone.
  bool IsClosed() const;

  /// @brief Called once when the caller goes away.
  void OnClosed(std::function<void()> told) {
    this->closed_told = std::move(told);
  }

  /// @brief Called whenever the connection has taken bytes.
  void OnDrained(std::function<void()> told) {
    this->drained_told = std::move(told);
  }

 private:
  void Flush();
  std::size_t SendDirect(std::string_view data);

  QHttpServerResponder responder;
  QPointer<QTcpSocket> socket;
  bool plain;  ///< no TLS between us and the socket
  std::string pending;
  std::function<void()> closed_told;
  std::function<void()> drained_told;
  bool streaming = false;
  bool ended = false;
  bool flush_planned = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_RESPONSE_WRITER_H_
