#ifndef MEADOWTHREAD_CLI_INPUT_FILE_H_
#define MEADOWTHREAD_CLI_INPUT_FILE_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "cli/console.h"

namespace meadowthread {

/// @brief Reads a whole file, or standard input if the path is "-".
absl::StatusOr<std::string> ReadInput(std::string_view path, Console& console);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_INPUT_FILE_H_
