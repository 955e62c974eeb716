#include "command_line.h"

#include <vector>

namespace meadowthread::standins {

CommandLine::CommandLine(std::string_view role)
    : role(role),
      parser("meadowthread stand-in: " + this->role, ' ', "0.1.0"),
      address("", "address", "Address to listen on", false, "127.0.0.1",
              "address", this->parser),
      name("", "name", "Name of the stand-in", false, this->role, "name",
           this->parser),
      port("", "port", "Port to listen on; 0: any free one", false, 0, "port",
           this->parser) {}

void CommandLine::Parse(std::span<char* const> arguments) {
  std::vector<std::string> all = {"meadowthread-standins " + this->role};
  all.insert(all.end(), arguments.begin(), arguments.end());
  this->parser.parse(all);
}

ListenOptions CommandLine::Listen() const {
  return {this->address.getValue(), this->name.getValue(),
          static_cast<std::uint16_t>(this->port.getValue())};
}

}  // namespace meadowthread::standins
