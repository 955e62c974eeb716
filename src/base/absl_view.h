#ifndef MEADOWTHREAD_BASE_ABSL_VIEW_H_
#define MEADOWTHREAD_BASE_ABSL_VIEW_H_

#include <string_view>

#include "absl/strings/string_view.h"

namespace meadowthread {

/// @brief The same text for Abseil, whose packaged build has a view of its own.
inline absl::string_view AbslView(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_ABSL_VIEW_H_
