#ifndef MEADOWTHREAD_NET_KERNEL_QUEUES_H_
#define MEADOWTHREAD_NET_KERNEL_QUEUES_H_

#include <cstdint>

namespace meadowthread {

/// @brief What the kernel reports about a TCP connection; -1 if it is unknown.
struct KernelQueues {
  std::int64_t unacknowledged =
      -1;  ///< bytes sent to the peer and not acknowledged; a FIN counts as one
  std::int64_t unread = -1;     ///< bytes received from the peer and not read
  std::int64_t silent_ms = -1;  ///< since the peer's last acknowledgement
};

/// @brief Queries the kernel for the state of a TCP connection.
/// @param[in] descriptor descriptor of a TCP socket
KernelQueues KernelQueuesOf(int descriptor);

/// @brief Prepares a socket for close() so that the kernel still delivers
/// unacknowledged bytes: shuts down sending and discards received bytes. Does
/// nothing if all bytes are acknowledged; close() then sends a reset if there
/// are unread bytes, which tells the peer that they were not processed.
/// @param[in] descriptor descriptor of a TCP socket
void FinishBeforeClose(int descriptor);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_KERNEL_QUEUES_H_
