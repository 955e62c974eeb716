#ifndef MEADOWTHREAD_CLI_AWAIT_H_
#define MEADOWTHREAD_CLI_AWAIT_H_

#include <functional>
#include <memory>
#include <optional>

#include "absl/status/statusor.h"
#include "cli/platform.h"
#include "store/store_errors.h"

namespace meadowthread {

/// @brief Starts an asynchronous call and waits for its result.
/// @param[in] start starts the call; receives the completion callback
/// @param[in] timeout_error the error to return if the wait times out
template <typename Answer, typename Start>
absl::StatusOr<Answer> Await(Platform& platform,
                             const absl::Status& timeout_error,
                             const Start& start) {
  // Shared with the callback, which may still run after this function has timed
  // out.
  auto answer = std::make_shared<std::optional<absl::StatusOr<Answer>>>();
  start([answer](const absl::StatusOr<Answer>& result) { *answer = result; });
  platform.Wait([answer] { return answer->has_value(); });
  return answer->has_value() ? **answer : absl::StatusOr<Answer>(timeout_error);
}

/// @brief Reads one object from the object API.
inline absl::StatusOr<StoredObject> AwaitGet(Platform& platform,
                                             std::string_view kind,
                                             std::string_view name) {
  return Await<StoredObject>(
      platform, StoreError(ErrorId::kStoreUnavailable, "get", kind),
      [&](const ObjectStore::GetDone& done) {
        platform.Store().Get(kind, name, done);
      });
}

/// @brief Reads all objects of a kind from the object API.
inline absl::StatusOr<ObjectList> AwaitList(Platform& platform,
                                            std::string_view kind) {
  return Await<ObjectList>(platform,
                           StoreError(ErrorId::kStoreUnavailable, "list", kind),
                           [&](const ObjectStore::ListDone& done) {
                             platform.Store().List(kind, 0, done);
                           });
}

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_AWAIT_H_
