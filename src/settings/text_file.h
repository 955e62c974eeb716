#ifndef MEADOWTHREAD_SETTINGS_TEXT_FILE_H_
#define MEADOWTHREAD_SETTINGS_TEXT_FILE_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief Reads a whole file.
/// @return the content, or kSettingsInvalid with the path as `peer`
absl::StatusOr<std::string> ReadTextFile(std::string_view path);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SETTINGS_TEXT_FILE_H_
