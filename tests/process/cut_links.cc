// Stand-in for a network that drops or refuses the new connections of one
// process: a library that is loaded into the process. The file that
// MEADOWTHREAD_CUT_LINKS names holds "refuse PORT..." or "hang SINK PORT...":
// what happens to connections to these ports. SINK is a port whose connections
// never come up. Other connections are not touched.
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace {

using Connect = int (*)(int, const sockaddr*, socklen_t);

struct Cut {
  std::string mode;
  std::vector<int> ports;
};

Cut ReadCut() {
  Cut cut;
  const char* const path = std::getenv("MEADOWTHREAD_CUT_LINKS");
  if (path != nullptr) {
    std::ifstream file(path);
    file >> cut.mode;
    for (int port = 0; file >> port;) {
      cut.ports.push_back(port);
    }
  }
  return cut;
}

bool Concerns(const Cut& cut, int port) {
  const std::size_t first = cut.mode == "hang" ? 1 : 0;
  return cut.ports.size() > first &&
         std::find(cut.ports.begin() + static_cast<std::ptrdiff_t>(first),
                   cut.ports.end(), port) != cut.ports.end();
}

}  // namespace

extern "C" int connect(int descriptor, const sockaddr* address,
                       socklen_t length) {
  static const auto kReal =
      reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  if (address->sa_family != AF_INET) {
    return kReal(descriptor, address, length);
  }
  sockaddr_in target = *reinterpret_cast<const sockaddr_in*>(address);
  const Cut cut = ReadCut();
  if (!Concerns(cut, ntohs(target.sin_port))) {
    return kReal(descriptor, address, length);
  }
  if (cut.mode == "refuse") {
    errno = ECONNREFUSED;
    return -1;
  }
  target.sin_port = htons(static_cast<std::uint16_t>(cut.ports.front()));
  return kReal(descriptor, reinterpret_cast<const sockaddr*>(&target), length);
}
