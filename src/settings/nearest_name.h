#ifndef MEADOWTHREAD_SETTINGS_NEAREST_NAME_H_
#define MEADOWTHREAD_SETTINGS_NEAREST_NAME_H_

#include <span>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief The known name that takes the fewest edits from `name`, empty where
/// none is near enough to be what was meant.
/// @complexity O(names * length^2)
std::string NearestName(std::string_view name,
                        std::span<const std::string> known);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SETTINGS_NEAREST_NAME_H_
