#ifndef MEADOWTHREAD_CONFIGURATION_TEXT_DIFFERENCE_H_
#define MEADOWTHREAD_CONFIGURATION_TEXT_DIFFERENCE_H_

#include <string>
#include <string_view>

namespace meadowthread {

/// @brief The lines that differ, `-` those of `before`, `+` those of `after`,
/// each with its number.
/// @complexity product of the lines between the common start and end; where
/// that is too much, that whole part is shown as replaced
std::string LineDifference(std::string_view before, std::string_view after);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEXT_DIFFERENCE_H_
