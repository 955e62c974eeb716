#include "net/socket_poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <QMetaObject>
#include <array>
#include <utility>

namespace meadowthread {
namespace {

// Most events handled per turn of the event loop, so that timers are not
// starved.
constexpr int kMaxEvents = 256;

epoll_event EventFor(int descriptor, std::uint32_t events) {
  epoll_event event = {};
  event.events = events;
  event.data.fd = descriptor;
  return event;
}

}  // namespace

SocketPoller::SocketPoller()
    : epoll(epoll_create1(EPOLL_CLOEXEC)),
      notifier(std::make_unique<QSocketNotifier>(this->epoll,
                                                 QSocketNotifier::Read)) {
  QObject::connect(this->notifier.get(), &QSocketNotifier::activated, this,
                   [this] { this->DispatchEvents(); });
}

SocketPoller::~SocketPoller() {
  this->notifier.reset();
  close(this->epoll);
}

void SocketPoller::Add(int descriptor, std::uint32_t events,
                       PolledSocket* socket) {
  this->sockets[descriptor] = socket;
  epoll_event event = EventFor(descriptor, events);
  epoll_ctl(this->epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void SocketPoller::Change(int descriptor, std::uint32_t events) {
  epoll_event event = EventFor(descriptor, events);
  epoll_ctl(this->epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void SocketPoller::Remove(int descriptor) {
  this->sockets.erase(descriptor);
  epoll_ctl(this->epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

PolledSocket* SocketPoller::Find(int descriptor) const {
  const auto found = this->sockets.find(descriptor);
  return found == this->sockets.end() ? nullptr : found->second;
}

// Looks up each socket again, because a handler may close any socket, including
// one with an event in this batch. If a descriptor number is reused within the
// batch, the new socket gets a spurious event, which is harmless as its read
// finds no data.
void SocketPoller::DispatchEvents() {
  std::array<epoll_event, kMaxEvents> events = {};
  const int count = epoll_wait(this->epoll, events.data(), kMaxEvents, 0);
  this->dispatching = true;
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    if (PolledSocket* const socket = this->Find(event.data.fd)) {
      socket->OnEvents(event.events);
    }
  }
  this->dispatching = false;
  this->FlushAll();
}

void SocketPoller::FlushLater(int descriptor) {
  this->to_flush.push_back(descriptor);
  if (this->dispatching || this->flush_planned) {
    return;
  }
  this->flush_planned = true;
  QMetaObject::invokeMethod(
      this,
      [this] {
        this->flush_planned = false;
        this->FlushAll();
      },
      Qt::QueuedConnection);
}

void SocketPoller::FlushAll() {
  const std::vector<int> descriptors = std::exchange(this->to_flush, {});
  for (const int descriptor : descriptors) {
    if (PolledSocket* const socket = this->Find(descriptor)) {
      socket->Flush();
    }
  }
}

}  // namespace meadowthread
