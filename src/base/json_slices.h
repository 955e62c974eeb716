#ifndef MEADOWTHREAD_BASE_JSON_SLICES_H_
#define MEADOWTHREAD_BASE_JSON_SLICES_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace meadowthread {

/// @brief Deepest nesting of a document that is read.
///
/// Documents of this product nest less than ten deep; libraries copy and write
/// values by recursion, a frame of some hundred bytes a level.
inline constexpr std::size_t kMostJsonDepth = 200;

/// @brief Whether arrays and objects nest deeper than `limit`.
/// @complexity linear, without recursion
bool NestsDeeper(std::string_view json_text, std::size_t limit);

/// @brief A member as it stands in the text; the key with its quotes.
using JsonMember = std::pair<std::string_view, std::string_view>;

/// @brief The texts of an array's elements, empty where it is no array.
///
/// Only brackets and quotes are looked at: what stands between them may be
/// anything, so that one element that can't be read costs no other one.
/// @complexity linear, without recursion
std::optional<std::vector<std::string_view>> JsonElements(
    std::string_view array_text);

/// @brief The texts of an object's members, as JsonElements.
std::optional<std::vector<JsonMember>> JsonMembers(
    std::string_view object_text);

/// @brief A member's text, empty where there is none; of several the last.
std::string_view JsonMemberText(std::string_view object_text,
                                std::string_view name);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_JSON_SLICES_H_
