#ifndef MEADOWTHREAD_SETTINGS_SECRET_FILE_H_
#define MEADOWTHREAD_SETTINGS_SECRET_FILE_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief Reads a secret that settings name by its file.
/// @param[in] field the field that names it, for the error
/// @param[in] path the file; white space at its end is dropped
/// @return the secret, or kSettingsInvalid, also where the file is empty;
/// errors carry the path and never the contents
absl::StatusOr<std::string> ReadSecretFile(std::string_view field,
                                           std::string_view path);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SETTINGS_SECRET_FILE_H_
