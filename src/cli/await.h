#ifndef MEADOWTHREAD_CLI_AWAIT_H_
#define MEADOWTHREAD_CLI_AWAIT_H_

#include <functional>
#include <memory>
#include <optional>

#include "absl/status/statusor.h"
#include "cli/platform.h"
#include "store/store_errors.h"

namespace meadowthread {

/// @brief Starts a call and waits for its answer.
/// @param[in] start called at once, with the callback for the answer
/// @param[in] late the error where no answer comes within the limit
template <typename Answer, typename Start>
absl::StatusOr<Answer> Await(Platform& platform, const absl::Status& late,
                             const Start& start) {
  // Shared with the callback, since a late answer may outlive this call.
  auto answer = std::make_shared<std::optional<absl::StatusOr<Answer>>>();
  start([answer](const absl::StatusOr<Answer>& came) { *answer = came; });
  platform.Wait([answer] { return answer->has_value(); });
  return answer->has_value() ? **answer : absl::StatusOr<Answer>(late);
}

/// @brief Reads one object.
inline absl::StatusOr<StoredObject> AwaitGet(Platform& platform,
                                             std::string_view kind,
                                             std::string_view name) {
  return Await<StoredObject>(
      platform, StoreError(ErrorId::kStoreUnavailable, "get", kind),
      [&](const ObjectStore::GetDone& done) {
        platform.Store().Get(kind, name, done);
      });
}

/// @brief Reads all objects of a kind.
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
