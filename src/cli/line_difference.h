#ifndef MEADOWTHREAD_CLI_LINE_DIFFERENCE_H_
#define MEADOWTHREAD_CLI_LINE_DIFFERENCE_H_

#include <string>
#include <string_view>

namespace meadowthread {

/// @brief The lines by which two texts differ: `- ` before one only in the
/// first, `+ ` before one only in the second, each with its line number.
/// @return empty where the texts have the same lines
/// @complexity product of the numbers of lines between the common beginning
/// and end; texts too long for that are told as one block of each
std::string LineDifference(std::string_view first, std::string_view second);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_LINE_DIFFERENCE_H_
