#ifndef MEADOWTHREAD_BASE_NEAREST_NAME_H_
#define MEADOWTHREAD_BASE_NEAREST_NAME_H_

#include <span>
#include <string_view>

namespace meadowthread {

/// @brief The known name closest to a misspelt one, for "did you mean" hints.
/// @return empty if no name is close enough
/// @complexity O(product of both lengths) per known name
std::string_view NearestName(std::string_view misspelt,
                             std::span<const std::string_view> known);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_NEAREST_NAME_H_
