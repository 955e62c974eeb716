#include "net/kernel_queues.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace meadowthread {
namespace {

std::int64_t QueueOf(int descriptor, std::uint64_t which) {
  int bytes = 0;
  return ioctl(descriptor, which, &bytes) == 0 ? bytes : -1;
}

}  // namespace

KernelQueues KernelQueuesOf(int descriptor) {
  if (descriptor < 0) {
    return {};
  }
  return {QueueOf(descriptor, SIOCOUTQ), QueueOf(descriptor, SIOCINQ)};
}

}  // namespace meadowthread
