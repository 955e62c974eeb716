#ifndef MEADOWTHREAD_CONFIGURATION_NEAREST_NAME_H_
#define MEADOWTHREAD_CONFIGURATION_NEAREST_NAME_H_

#include <span>
#include <string_view>

namespace meadowthread {

/// @brief The known name with the least edit distance to a misspelt one.
/// @return empty where none is near enough to be what was meant
/// @complexity product of both lengths, for each known name
std::string_view NearestName(std::string_view misspelt,
                             std::span<const std::string_view> known);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_NEAREST_NAME_H_
