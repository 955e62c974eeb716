#ifndef MEADOWTHREAD_BASE_JSON_SLICES_H_
#define MEADOWTHREAD_BASE_JSON_SLICES_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace meadowthread {

/// @brief Maximum nesting depth of an accepted JSON document.
///
/// The limit protects the stack: libraries copy and write values by recursion,
/// with a stack frame of some hundred bytes per level. Documents of this system
/// nest less than ten levels deep.
inline constexpr std::size_t kMaxJsonDepth = 200;

/// @brief Whether arrays and objects are nested deeper than `limit`.
/// @complexity linear, without recursion
bool ExceedsDepth(std::string_view json_text, std::size_t limit);

/// @brief The unparsed text of an object member: the key, with its quotes, and
/// the value.
using JsonMember = std::pair<std::string_view, std::string_view>;

/// @brief Splits an array into the unparsed texts of its elements; empty if the
/// text is not an array.
///
/// Only brackets, quotes and separators are examined, so that one invalid
/// element does not make the others unreadable.
/// @complexity linear, without recursion
std::optional<std::vector<std::string_view>> JsonElements(
    std::string_view array_text);

/// @brief Splits an object into the unparsed texts of its members, in the same
/// way as JsonElements.
std::optional<std::vector<JsonMember>> JsonMembers(
    std::string_view object_text);

/// @brief The unparsed value of a member, empty if there is none; the last one
/// if the key is repeated.
std::string_view JsonMemberText(std::string_view object_text,
                                std::string_view name);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_JSON_SLICES_H_
