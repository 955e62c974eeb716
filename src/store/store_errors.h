#ifndef MEADOWTHREAD_STORE_STORE_ERRORS_H_
#define MEADOWTHREAD_STORE_STORE_ERRORS_H_

#include <string_view>

#include "absl/status/status.h"
#include "base/error.h"

namespace meadowthread {

/// @brief Makes the error of an object API call, with the step that failed and
/// the object as peer.
/// @param[in] id a kStore* id (4xx), or kNotFound
absl::Status StoreError(ErrorId id, std::string_view step,
                        std::string_view peer);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_STORE_ERRORS_H_
