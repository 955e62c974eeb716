#ifndef MEADOWTHREAD_SETTINGS_SECRET_FILE_H_
#define MEADOWTHREAD_SETTINGS_SECRET_FILE_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief Reads a secret from the file that a setting names.
/// @param[in] field the setting that names the file, for error messages
/// @param[in] path the file; trailing white space is removed
/// @return the secret, or kSettingsInvalid if the file is unreadable or empty;
/// errors contain the path, never the content
absl::StatusOr<std::string> ReadSecretFile(std::string_view field,
                                           std::string_view path);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SETTINGS_SECRET_FILE_H_
