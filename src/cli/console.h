#ifndef MEADOWTHREAD_CLI_CONSOLE_H_
#define MEADOWTHREAD_CLI_CONSOLE_H_

#include <istream>
#include <ostream>

namespace meadowthread {

/// @brief The input and output streams of a command.
struct Console {
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_CONSOLE_H_
