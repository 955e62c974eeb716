#ifndef MEADOWTHREAD_NET_KERNEL_QUEUES_H_
#define MEADOWTHREAD_NET_KERNEL_QUEUES_H_

#include <cstdint>

namespace meadowthread {

/// @brief What the kernel knows of a TCP connection; -1 where it does not tell.
struct KernelQueues {
  std::int64_t unacknowledged = -1;  ///< to the peer, its end counted as one
  std::int64_t unread = -1;          ///< from the peer
  std::int64_t silent_ms = -1;       ///< since the peer's last acknowledgement
};

/// @param[in] descriptor a TCP socket's
KernelQueues KernelQueuesOf(int descriptor);

/// @brief Ends what is sent, so that a close which follows is in order where
/// the kernel has still something to deliver. Where it hasn't, unread bytes
/// stay unread: the reset tells the peer that nobody had them.
/// @param[in] descriptor a TCP socket's
void FinishBeforeClose(int descriptor);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_KERNEL_QUEUES_H_
