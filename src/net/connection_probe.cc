#include "net/connection_probe.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace meadowthread {

void ConnectionProbe::Open(int descriptor) {
  this->Close();
  this->duplicate = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
}

// A connection that the peer has closed in order is not in the closed state, as
// this side has not closed it yet.
bool ConnectionProbe::IsBroken() const {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  return this->duplicate >= 0 &&
         getsockopt(this->duplicate, IPPROTO_TCP, TCP_INFO, &info, &size) ==
             0 &&
         info.tcpi_state == TCP_CLOSE;
}

void ConnectionProbe::Close() {
  if (this->duplicate >= 0) {
    close(std::exchange(this->duplicate, -1));
  }
}

}  // namespace meadowthread
