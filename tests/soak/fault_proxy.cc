#include "soak/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QElapsedTimer>
#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <string>

namespace meadowthread::soak {
namespace {

constexpr int kTickMs = 2;
constexpr int kBacklog = 128;
// So much waits in a direction before its sender is made to wait: the link must
// not hide that a reader is slow.
constexpr std::size_t kQueueBytes = 8'192;

std::int64_t NowMs() {
  static const QElapsedTimer kSinceStart = [] {
    QElapsedTimer started;
    started.start();
    return started;
  }();
  return kSinceStart.elapsed();
}

sockaddr_in Loopback(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int ConnectTo(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = Loopback(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

void Reset(int descriptor) {
  const linger at_once = {1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

// One direction: what was read waits until it is due and may be written.
class Direction {
 public:
  Direction(int from, int to) : from(from), to(to) {}

  // False where either end is broken.
  bool Turn(const LinkFault& fault) {
    return this->Read(fault) && (fault.held || this->Write(fault));
  }
  bool IsOver() const { return this->ended; }

 private:
  struct Piece {
    std::int64_t due_ms = 0;
    std::string bytes;
  };

  bool Read(const LinkFault& fault) {
    std::array<char, kQueueBytes> buffer;
    while (!this->at_end && this->queued < kQueueBytes) {
      const ssize_t count =
          recv(this->from, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (count < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK;
      }
      this->at_end = count == 0;
      this->queued += static_cast<std::size_t>(count);
      if (count > 0) {
        this->pieces.push_back(
            {NowMs() + fault.delay_ms,
             std::string(buffer.data(), static_cast<std::size_t>(count))});
      }
    }
    return true;
  }

  bool Write(const LinkFault& fault) {
    std::size_t may = fault.bytes_per_tick > 0
                          ? static_cast<std::size_t>(fault.bytes_per_tick)
                          : this->queued;
    while (may > 0 && !this->pieces.empty() &&
           this->pieces.front().due_ms <= NowMs()) {
      std::string& bytes = this->pieces.front().bytes;
      const ssize_t count =
          send(this->to, bytes.data(), std::min(may, bytes.size()),
               MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK;
      }
      const auto sent = static_cast<std::size_t>(count);
      bytes.erase(0, sent);
      may -= sent;
      this->queued -= sent;
      if (bytes.empty()) {
        this->pieces.pop_front();
      }
    }
    if (this->at_end && this->pieces.empty() && !this->ended) {
      this->ended = true;
      shutdown(this->to, SHUT_WR);
    }
    return true;
  }

  int from;
  int to;
  std::deque<Piece> pieces;
  std::size_t queued = 0;
  bool at_end = false;
  bool ended = false;
};

}  // namespace

class FaultProxy::Connection {
 public:
  Connection(int caller, int target)
      : caller(caller),
        target(target),
        up(caller, target),
        down(target, caller) {}
  ~Connection() {
    close(this->caller);
    close(this->target);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // False once it is over.
  bool Turn(const LinkFault& to_target, const LinkFault& to_caller) {
    if (this->silent) {
      return true;
    }
    if (!this->up.Turn(to_target) || !this->down.Turn(to_caller)) {
      this->ResetBoth();
      return false;
    }
    return !this->up.IsOver() || !this->down.IsOver();
  }
  void ResetBoth() const {
    Reset(this->caller);
    Reset(this->target);
  }
  void Silence() { this->silent = true; }

 private:
  int caller;
  int target;
  bool silent = false;
  Direction up;
  Direction down;
};

FaultProxy::FaultProxy(int target_port)
    : target_port(target_port),
      listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
  sockaddr_in at = Loopback(0);
  socklen_t size = sizeof(at);
  // A port of the kernel's choice; 0 where it has none, which nobody reaches.
  const bool listens =
      bind(this->listener, reinterpret_cast<const sockaddr*>(&at),
           sizeof(at)) == 0 &&
      listen(this->listener, kBacklog) == 0 &&
      getsockname(this->listener, reinterpret_cast<sockaddr*>(&at), &size) == 0;
  this->port = listens ? ntohs(at.sin_port) : 0;
  QObject::connect(&this->timer, &QTimer::timeout, &this->timer,
                   [this] { this->Turn(); });
  this->timer.start(kTickMs);
}

FaultProxy::~FaultProxy() { close(this->listener); }

void FaultProxy::SetFaults(const LinkFault& to_target,
                           const LinkFault& to_caller) {
  this->to_target = to_target;
  this->to_caller = to_caller;
}

void FaultProxy::ResetAll() {
  for (const auto& connection : this->connections) {
    connection->ResetBoth();
  }
  this->connections.clear();
}

void FaultProxy::SilenceStanding() {
  for (const auto& connection : this->connections) {
    connection->Silence();
  }
}

void FaultProxy::Turn() {
  this->Accept();
  std::erase_if(this->connections, [this](const auto& connection) {
    return !connection->Turn(this->to_target, this->to_caller);
  });
}

void FaultProxy::Accept() {
  for (;;) {
    const int caller = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0) {
      return;
    }
    const int target = ConnectTo(this->target_port);
    if (target < 0) {
      Reset(caller);
      close(caller);
      continue;
    }
    this->connections.push_back(std::make_unique<Connection>(caller, target));
  }
}

}  // namespace meadowthread::soak
