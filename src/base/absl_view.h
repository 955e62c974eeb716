#ifndef MEADOWTHREAD_BASE_ABSL_VIEW_H_
#define MEADOWTHREAD_BASE_ABSL_VIEW_H_

#include <string_view>

#include "absl/strings/string_view.h"

namespace meadowthread {

/// @brief Converts to absl::string_view, which is not std::string_view in the
/// packaged build of Abseil.
inline absl::string_view AbslView(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_ABSL_VIEW_H_
