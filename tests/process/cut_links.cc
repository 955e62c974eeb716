// Stand-in for a network that drops or refuses the new connections of one
// process: a library that is loaded into the process. The file that
// MEADOWTHREAD_CUT_LINKS names says what happens to connections to some ports:
// "refuse PORT...", "hang SINK PORT..." or, for links that lose packets,
// "lossy SINK PERCENT PORT...": so many of the connections hang. SINK is a port
// whose connections never come up. Other connections are not touched.
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

constexpr int kAllPercent = 100;

struct Cut {
  std::string mode;
  int sink = 0;
  int hang_percent = kAllPercent;
  std::vector<int> ports;
};

Cut ReadCut() {
  Cut cut;
  const char* const path = std::getenv("MEADOWTHREAD_CUT_LINKS");
  if (path != nullptr) {
    std::ifstream file(path);
    file >> cut.mode;
    if (cut.mode != "refuse") {
      file >> cut.sink;
    }
    if (cut.mode == "lossy") {
      file >> cut.hang_percent;
    }
    for (int port = 0; file >> port;) {
      cut.ports.push_back(port);
    }
  }
  return cut;
}

bool Concerns(const Cut& cut, int port) {
  return std::find(cut.ports.begin(), cut.ports.end(), port) !=
             cut.ports.end() &&
         (cut.hang_percent >= kAllPercent ||
          std::rand() % kAllPercent < cut.hang_percent);
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
  target.sin_port = htons(static_cast<std::uint16_t>(cut.sink));
  return kReal(descriptor, reinterpret_cast<const sockaddr*>(&target), length);
}
