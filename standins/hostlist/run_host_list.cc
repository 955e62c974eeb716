#include <fstream>
#include <iostream>
#include <sstream>

#include "command_line.h"
#include "hostlist/host_list_service.h"
#include "roles.h"
#include "serve.h"

namespace meadowthread::standins {
namespace {

bool LoadFile(const std::string& path, HostListService* service) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  const absl::StatusOr<nlohmann::json> hosts = ParseHosts(text.str());
  if (!hosts.ok()) {
    std::cerr << path << ": " << hosts.status().message() << std::endl;
    return false;
  }
  service->SetFirst(*hosts);
  return true;
}

}  // namespace

int RunHostList(std::span<char* const> arguments) {
  CommandLine line("hostlist");
  TCLAP::ValueArg<std::string> file("", "file", "File with the initial list",
                                    false, "", "path", line.Parser());
  TCLAP::ValueArg<std::int64_t> lag("", "lag-ms",
                                    "Delay until a change is visible", false, 0,
                                    "ms", line.Parser());
  line.Parse(arguments);
  HostListService service(lag.getValue());
  if (file.isSet() && !LoadFile(file.getValue(), &service)) {
    return 1;
  }
  return ServeUntilStopped(&service, "hostlist", line.Listen());
}

}  // namespace meadowthread::standins
