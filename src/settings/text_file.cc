#include "settings/text_file.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "base/error.h"

namespace meadowthread {

absl::StatusOr<std::string> ReadTextFile(std::string_view path) {
  std::error_code ignored;
  std::ifstream file{std::string(path)};
  // Opening a directory succeeds, and it would read as an empty file.
  if (file && !std::filesystem::is_directory(path, ignored)) {
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  ErrorDetail detail;
  detail.id = ErrorId::kSettingsInvalid;
  detail.step = "read-file";
  detail.peer = std::string(path);
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   absl::StrCat("cannot be read: ", detail.peer));
}

}  // namespace meadowthread
