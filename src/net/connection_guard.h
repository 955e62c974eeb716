#ifndef MEADOWTHREAD_NET_CONNECTION_GUARD_H_
#define MEADOWTHREAD_NET_CONNECTION_GUARD_H_

#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>

#include "net/http_server.h"

namespace meadowthread::detail {

/// @brief Bounds what one connection may send before a request is whole.
///
/// Qt's parser gathers a request of any size; the guard sees the bytes first
/// and closes the connection with 413, 431 or 408 where a bound is passed.
class ConnectionGuard final : public QObject {
 public:
  /// @param[in] socket owns the guard
  ConnectionGuard(QTcpSocket* socket, const ServerLimits& limits);

  /// @brief A whole request was taken: counting starts anew.
  void RequestTaken();

  /// @brief Whether an earlier request of the connection is being answered.
  bool IsAnswering() const { return !this->answering.isNull(); }

  /// @brief The answer that the connection is busy with until it is destroyed.
  void SetAnswering(QObject* answer) { this->answering = answer; }

 private:
  void CountArrived();
  void ReadHead();
  void Refuse(int http_status, int code, const char* title);

  QTcpSocket* socket;
  ServerLimits limits;
  QTimer body_timer;
  QPointer<QObject> answering;
  QByteArray head;
  qint64 received = 0;
  bool head_done = false;
  bool refused = false;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_CONNECTION_GUARD_H_
