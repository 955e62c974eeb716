#ifndef MEADOWTHREAD_BASE_NEAREST_NAME_H_
#define MEADOWTHREAD_BASE_NEAREST_NAME_H_

#include <span>
#include <string_view>

namespace meadowthread {

/// @brief The known name that a misspelt one was most likely meant to be.
/// @return empty where none is near enough
/// @complexity product of both lengths, for each known name
std::string_view NearestName(std::string_view misspelt,
                             std::span<const std::string_view> known);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_NEAREST_NAME_H_
