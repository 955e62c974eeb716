#ifndef MEADOWTHREAD_POLICY_STRING_MAP_H_
#define MEADOWTHREAD_POLICY_STRING_MAP_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "base/absl_view.h"

namespace meadowthread {

namespace detail {

/// @brief Hashes string views and strings alike, so that lookups copy no
/// strings.
struct StringViewHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return absl::Hash<absl::string_view>()(AbslView(text));
  }
};

}  // namespace detail

/// @brief A hash map keyed by string.
template <typename Value>
using StringMap = absl::flat_hash_map<std::string, Value,
                                      detail::StringViewHash, std::equal_to<>>;

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_STRING_MAP_H_
