#include "cli/input_file.h"

#include <iterator>

#include "settings/text_file.h"

namespace meadowthread {

absl::StatusOr<std::string> ReadInput(std::string_view path, Console& console) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(console.in), {});
  }
  return ReadTextFile(path);
}

}  // namespace meadowthread
