#include "net/plain_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "net/kernel_queues.h"

namespace meadowthread {
namespace {

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
// Most reads from one socket per turn of the event loop, so that a fast peer
// does not starve others.
constexpr int kReadsPerTurn = 4;
// A peer whose host lost power or network sends nothing, not even a reset.
// Keepalive probes end an idle connection after 3 + 3 * 1 s without a reply;
// TCP_USER_TIMEOUT ends a connection that we opened if sent bytes stay
// unacknowledged for 6 s. That is shorter than any generation deadline and
// longer than short network interruptions. TCP_USER_TIMEOUT is not set on
// accepted connections, because the kernel also counts the time in which a slow
// reader keeps its window closed, though it answers every probe.
// ServerConnection checks the progress of its client itself.
constexpr int kDeadPeerMs = 6'000;
constexpr int kProbeAfterS = 3;
constexpr int kProbeEveryS = 1;
constexpr int kProbes = 3;

void SetOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

void SetOptions(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterS);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEveryS);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

absl::Status ConnectError(const std::string& peer, std::string_view what) {
  ErrorDetail detail;
  detail.id = ErrorId::kConnectFailed;
  detail.step = "connect";
  detail.peer = peer;
  return MakeError(absl::StatusCode::kUnavailable, detail, what);
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

absl::StatusOr<std::unique_ptr<PlainSocket>> PlainSocket::Connect(
    SocketPoller& poller, const std::string& address, std::uint16_t port) {
  const std::string peer = absl::StrCat(address, ":", port);
  sockaddr_in target = {};
  target.sin_family = AF_INET;
  target.sin_port = htons(port);
  if (inet_pton(AF_INET, address.c_str(), &target.sin_addr) != 1) {
    return ConnectError(peer, "the address is not an IPv4 address");
  }
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return ConnectError(peer, std::strerror(errno));
  }
  SetOptions(descriptor);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kDeadPeerMs);
  const int begun = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  if (begun != 0 && errno != EINPROGRESS) {
    const int error = errno;
    close(descriptor);
    return ConnectError(peer, std::strerror(error));
  }
  return std::make_unique<PlainSocket>(poller, descriptor, false);
}

PlainSocket::PlainSocket(SocketPoller& poller, int descriptor, bool connected)
    : poller(poller), descriptor(descriptor), connected(connected) {
  if (connected) {
    SetOptions(descriptor);
  }
  this->watched = connected ? EPOLLIN : EPOLLOUT;
  this->poller.Add(descriptor, this->watched, this);
}

PlainSocket::~PlainSocket() { this->Close(); }

void PlainSocket::Close() {
  if (this->descriptor >= 0) {
    this->poller.Remove(this->descriptor);
    close(this->descriptor);
    this->descriptor = -1;
  }
}

std::string PlainSocket::Peer() const {
  sockaddr_in address = {};
  socklen_t size = sizeof(address);
  if (getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                  &size) != 0) {
    return "closed";
  }
  std::array<char, INET_ADDRSTRLEN> text = {};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return absl::StrCat(text.data(), ":", ntohs(address.sin_port));
}

/////////////
// Writing
/////////////

void PlainSocket::Write(std::string_view bytes) {
  if (this->MayWrite()) {
    this->out.Append(bytes);
    this->PlanFlush();
  }
}

void PlainSocket::WriteShared(const SharedBytes& bytes) {
  if (this->MayWrite()) {
    this->out.AppendShared(bytes);
    this->PlanFlush();
  }
}

void PlainSocket::PlanFlush() {
  if (this->connected && !this->flush_planned && this->out.Size() > 0) {
    this->flush_planned = true;
    this->poller.FlushLater(this->descriptor);
  }
}

void PlainSocket::Flush() {
  this->flush_planned = false;
  if (this->connected) {
    this->SendPending();
  }
}

void PlainSocket::SendPending() {
  const bool had_bytes = this->out.Size() > 0;
  while (this->out.Size() > 0) {
    const std::string_view next = this->out.Front();
    const ssize_t count = send(this->descriptor, next.data(), next.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0 && !WouldBlock(errno)) {
      // Don't end the connection yet: the peer may have sent a complete
      // response before it closed without reading the whole request.
      this->send_failed = true;
      this->out.Clear();
      this->UpdateWatchedEvents();
      if (this->closing) {
        this->End(SocketEnd::kReset);
      }
      return;
    }
    if (count < 0) {
      break;
    }
    this->out.Consume(static_cast<std::size_t>(count));
    this->sent += count;
  }
  this->UpdateWatchedEvents();
  if (this->out.Size() > 0) {
    return;
  }
  if (this->peer_finished) {
    this->End(SocketEnd::kFinished);
  } else if (this->closing) {
    // Closing a socket with unread bytes sends a reset, which can make the peer
    // lose the response. So only sending is shut down, and further bytes are
    // read and discarded until the peer closes.
    shutdown(this->descriptor, SHUT_WR);
  } else if (had_bytes && this->handler != nullptr) {
    this->handler->OnDrained();
  }
}

bool PlainSocket::IsQuiet() const {
  char byte = 0;
  return this->descriptor >= 0 &&
         recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         WouldBlock(errno);
}

std::int64_t PlainSocket::PendingBytes() const {
  return static_cast<std::int64_t>(this->out.Size());
}

SocketBacklog PlainSocket::Backlog() const {
  const KernelQueues queues = KernelQueuesOf(this->descriptor);
  return {this->PendingBytes(), queues.unacknowledged, queues.unread,
          queues.silent_ms};
}

void PlainSocket::CloseWhenDrained() {
  if (this->descriptor < 0 || this->closing) {
    return;
  }
  this->closing = true;
  if (!this->flush_planned) {
    this->flush_planned = true;
    this->poller.FlushLater(this->descriptor);
  }
}

void PlainSocket::CloseNow() {
  if (this->descriptor < 0) {
    return;
  }
  this->handler = nullptr;
  if (this->connected) {
    this->SendPending();
  }
  if (this->descriptor >= 0) {
    FinishBeforeClose(this->descriptor);
    this->Close();
  }
}

void PlainSocket::Abort() {
  if (this->descriptor >= 0) {
    const linger at_once = {1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof(at_once));
    this->Close();
  }
}

/////////////
// Reading
/////////////

void PlainSocket::SetPaused(bool is_paused) {
  this->paused = is_paused;
  this->UpdateWatchedEvents();
}

void PlainSocket::UpdateWatchedEvents() {
  if (this->descriptor < 0 || !this->connected) {
    return;
  }
  std::uint32_t wanted = this->paused ? 0U : std::uint32_t{EPOLLIN};
  if (this->out.Size() > 0) {
    wanted |= EPOLLOUT;
  }
  if (wanted != this->watched) {
    this->watched = wanted;
    this->poller.Change(this->descriptor, wanted);
  }
}

void PlainSocket::OnEvents(std::uint32_t events) {
  if (!this->connected) {
    this->FinishConnect();
    return;
  }
  const std::weak_ptr<bool> guard = this->alive;
  if ((events & EPOLLOUT) != 0) {
    this->SendPending();
  }
  if (guard.expired() || this->descriptor < 0) {
    return;
  }
  // Also reads while paused if the connection is broken, to notice its end.
  const bool broken = (events & (EPOLLERR | EPOLLHUP)) != 0;
  if ((events & EPOLLIN) != 0 || broken) {
    this->Read();
  }
}

void PlainSocket::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    this->End(SocketEnd::kConnectFailed);
    return;
  }
  this->connected = true;
  this->UpdateWatchedEvents();
  const std::weak_ptr<bool> guard = this->alive;
  if (this->handler != nullptr) {
    this->handler->OnConnected();
  }
  if (!guard.expired() && this->descriptor >= 0 && this->out.Size() > 0) {
    this->SendPending();
  }
}

void PlainSocket::Read() {
  static thread_local std::array<char, kReadBytes> buffer;
  const std::weak_ptr<bool> guard = this->alive;
  for (int reads = 0; reads < kReadsPerTurn; ++reads) {
    const ssize_t count =
        recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EINTR || WouldBlock(errno))) {
      return;
    }
    if (count == 0 && this->handler != nullptr && this->handler->OnFinished()) {
      this->peer_finished = true;
      this->closing = true;
      this->SetPaused(true);
      return;
    }
    if (count <= 0) {
      this->End(count == 0 && this->HasSentAll() ? SocketEnd::kFinished
                                                 : SocketEnd::kReset);
      return;
    }
    if (this->handler != nullptr && !this->closing) {
      this->handler->OnBytes({buffer.data(), static_cast<std::size_t>(count)});
    }
    const bool all = static_cast<std::size_t>(count) < buffer.size();
    if (guard.expired() || this->descriptor < 0 || this->paused || all) {
      return;
    }
  }
}

// The kernel reports a reset once. If a send got that error, reading only sees
// an end, like that of a connection closed in order.
bool PlainSocket::HasSentAll() const {
  return !this->send_failed && this->PendingBytes() == 0;
}

void PlainSocket::End(SocketEnd end) {
  this->Close();
  StreamSocketHandler* const told = this->handler;
  this->handler = nullptr;
  if (told != nullptr) {
    told->OnEnded(end);
  }
}

}  // namespace meadowthread
