#ifndef MEADOWTHREAD_CONFIGURATION_VALUE_PATCH_H_
#define MEADOWTHREAD_CONFIGURATION_VALUE_PATCH_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief Compresses bytes.
std::string Compress(std::string_view bytes);

/// @brief Restores compressed bytes.
/// @param[in] max_bytes limit of the result
/// @return an error if the input is malformed or the result would be longer
/// @complexity O(result)
absl::StatusOr<std::string> Decompress(std::string_view compressed,
                                       std::size_t max_bytes);

/// @brief The difference between two versions of a value: short if they differ
/// in a few places, wherever these are.
/// @complexity O(base + value)
std::string MakePatch(std::string_view base, std::string_view value);

/// @brief Rebuilds a value from an earlier version.
/// @param[in] max_bytes limit of the result
/// @return an error if the patch is malformed, was made for another base, or
/// the result would be longer
absl::StatusOr<std::string> ApplyPatch(std::string_view base,
                                       std::string_view patch,
                                       std::size_t max_bytes);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_VALUE_PATCH_H_
