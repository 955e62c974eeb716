#ifndef MEADOWTHREAD_CONFIGURATION_TEXT_DIFFERENCE_H_
#define MEADOWTHREAD_CONFIGURATION_TEXT_DIFFERENCE_H_

#include <string>
#include <string_view>

namespace meadowthread {

/// @brief Line diff of two texts: `-` marks lines of `before`, `+` lines of
/// `after`, each with its line number.
/// @complexity product of the line counts between the common prefix and suffix;
/// if that is too large, this whole part is shown as replaced
std::string LineDifference(std::string_view before, std::string_view after);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEXT_DIFFERENCE_H_
