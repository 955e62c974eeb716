#ifndef MEADOWTHREAD_EXCHANGE_BOUNDED_LISTENER_H_
#define MEADOWTHREAD_EXCHANGE_BOUNDED_LISTENER_H_

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <cstdint>

namespace meadowthread::detail {

/// @brief What a connection may hold back before it is closed.
struct ConnectionBounds {
  std::int64_t max_request_bytes = 0;
  int idle_limit_ms = 0;
  int max_connections = 0;
};

/// @brief A connection whose unfinished request is bounded in bytes and time.
///
/// Qt's HTTP server gathers a request's body without limit, waits for its end
/// without limit, and closes a connection whose bytes are no HTTP untold.
class BoundedSocket final : public QTcpSocket {
  Q_OBJECT

 public:
  BoundedSocket(const ConnectionBounds& bounds, QObject* parent);

  /// @brief A whole request was taken: the bounds start anew.
  void RequestTaken();

  /// @brief Closes; answers 400 first where a request is unfinished.
  void disconnectFromHost() override;  // NOLINT: Qt's name

 private:
  void CountBytes();
  void Refuse(const QByteArray& status_line);
  void Drop();

  ConnectionBounds bounds;
  std::int64_t request_bytes = 0;
  bool refused = false;
  QTimer idle_timer;
};

/// @brief A listener whose connections are bounded in number and each.
class BoundedListener final : public QTcpServer {
  Q_OBJECT

 public:
  BoundedListener(const ConnectionBounds& bounds, QObject* parent);

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  ConnectionBounds bounds;
  int connections = 0;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_EXCHANGE_BOUNDED_LISTENER_H_
