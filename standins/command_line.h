#ifndef MEADOWTHREAD_STANDINS_COMMAND_LINE_H_
#define MEADOWTHREAD_STANDINS_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <cstdint>
#include <span>
#include <string>

namespace meadowthread::standins {

/// @brief Where a stand-in listens.
struct ListenOptions {
  std::string address;
  std::string name;
  std::uint16_t port = 0;
};

/// @brief The command line of one role, with what all roles share.
class CommandLine {
 public:
  explicit CommandLine(std::string_view role);

  /// @brief Where a role adds its own arguments.
  TCLAP::CmdLine& Parser() { return this->parser; }

  /// @brief Reads the arguments that follow the role; TCLAP ends the process
  /// with a message where they are wrong.
  void Parse(std::span<char* const> arguments);

  ListenOptions Listen() const;

 private:
  std::string role;
  TCLAP::CmdLine parser;
  TCLAP::ValueArg<std::string> address;
  TCLAP::ValueArg<std::string> name;
  TCLAP::ValueArg<int> port;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_COMMAND_LINE_H_
