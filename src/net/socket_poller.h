#ifndef MEADOWTHREAD_NET_SOCKET_POLLER_H_
#define MEADOWTHREAD_NET_SOCKET_POLLER_H_

#include <QObject>
#include <QSocketNotifier>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace meadowthread {

/// @brief Receives the epoll events of a descriptor.
class PolledSocket {
 public:
  virtual ~PolledSocket() = default;

  /// @param[in] events EPOLLIN, EPOLLOUT, EPOLLERR, EPOLLHUP
  virtual void OnEvents(std::uint32_t events) = 0;

  /// @brief Sends what was written in this turn of the event loop.
  virtual void Flush() = 0;
};

/// @brief Watches many descriptors through one epoll descriptor on Qt's event
/// loop.
class SocketPoller final : public QObject {
 public:
  SocketPoller();
  ~SocketPoller() override;
  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  /// @brief Starts to watch a descriptor; call Remove before `socket` is
  /// destroyed.
  void Add(int descriptor, std::uint32_t events, PolledSocket* socket);
  void Change(int descriptor, std::uint32_t events);
  void Remove(int descriptor);

  /// @brief Schedules one call of Flush at the end of this turn of the event
  /// loop.
  void FlushLater(int descriptor);

 private:
  void DispatchEvents();
  void FlushAll();
  PolledSocket* Find(int descriptor) const;

  int epoll;
  std::unique_ptr<QSocketNotifier> notifier;
  std::unordered_map<int, PolledSocket*> sockets;
  std::vector<int> to_flush;
  bool flush_planned = false;
  bool dispatching = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_SOCKET_POLLER_H_
