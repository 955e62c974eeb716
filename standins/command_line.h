#ifndef MEADOWTHREAD_STANDINS_COMMAND_LINE_H_
#define MEADOWTHREAD_STANDINS_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <cstdint>
#include <span>
#include <string>

namespace meadowthread::standins {

/// @brief Listening address of a stand-in and its name.
struct ListenOptions {
  std::string address;
  std::string name;
  std::uint16_t port = 0;
};

/// @brief Command line of one role; defines the arguments that all roles share.
class CommandLine {
 public:
  explicit CommandLine(std::string_view role);

  /// @brief The parser to which a role adds its own arguments.
  TCLAP::CmdLine& Parser() { return this->parser; }

  /// @brief Parses the arguments that follow the role; on an error, TCLAP
  /// prints a message and exits the process.
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
