#include "net/kernel_queues.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>

namespace meadowthread {
namespace {

// Bounds what is discarded for a peer that keeps sending to 16 reads of 64 KiB,
// four times what PlainSocket reads in one turn of the event loop.
constexpr std::size_t kDiscardBytes = std::size_t{64} * 1024;
constexpr int kMaxReads = 16;

std::int64_t QueueOf(int descriptor, std::uint64_t which) {
  int bytes = 0;
  return ioctl(descriptor, which, &bytes) == 0 ? bytes : -1;
}

std::int64_t SilentMs(int descriptor) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  const bool known =
      getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
      size > offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(std::uint32_t) &&
      info.tcpi_state != 0;
  return known ? info.tcpi_last_ack_recv : -1;
}

}  // namespace

KernelQueues KernelQueuesOf(int descriptor) {
  if (descriptor < 0) {
    return {};
  }
  return {QueueOf(descriptor, SIOCOUTQ), QueueOf(descriptor, SIOCINQ),
          SilentMs(descriptor)};
}

// Closing a socket with unread bytes sends a reset, and the kernel then
// discards bytes that are not yet delivered.
void FinishBeforeClose(int descriptor) {
  if (KernelQueuesOf(descriptor).unacknowledged == 0) {
    return;
  }
  shutdown(descriptor, SHUT_WR);
  std::array<char, kDiscardBytes> dropped = {};
  for (int reads = 0; reads < kMaxReads; ++reads) {
    if (recv(descriptor, dropped.data(), dropped.size(), MSG_DONTWAIT) <= 0) {
      return;
    }
  }
}

}  // namespace meadowthread
