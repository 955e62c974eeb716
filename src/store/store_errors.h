#ifndef MEADOWTHREAD_STORE_STORE_ERRORS_H_
#define MEADOWTHREAD_STORE_STORE_ERRORS_H_

#include <string_view>

#include "absl/status/status.h"
#include "base/error.h"

namespace meadowthread {

/// @brief An error of the object API with its step and the object as peer.
/// @param[in] id a 4xx number, or kNotFound
absl::Status StoreError(ErrorId id, std::string_view step,
                        std::string_view peer);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_STORE_ERRORS_H_
