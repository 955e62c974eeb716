#ifndef MEADOWTHREAD_STORE_OBJECT_ANSWERS_H_
#define MEADOWTHREAD_STORE_OBJECT_ANSWERS_H_

#include <cstdint>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "net/http_client.h"
#include "nlohmann/json.hpp"
#include "store/object_store.h"

namespace meadowthread {

/// @brief Reads the answer to a get; the version stands in its ETag.
absl::StatusOr<StoredObject> ReadGetAnswer(const HttpFetched& fetched,
                                           std::string_view kind,
                                           std::string_view name);

/// @brief Reads the answer to a list or a watch.
absl::StatusOr<ObjectList> ReadListAnswer(const HttpFetched& fetched,
                                          std::string_view step,
                                          std::string_view kind);

/// @brief Reads the answer to a put or a delete: the new version, or whether
/// the write was certainly not applied.
absl::StatusOr<std::int64_t> ReadWriteAnswer(const HttpFetched& fetched,
                                             std::string_view step,
                                             std::string_view peer);

/// @brief One object as it stands in lists and in messages between hosts.
nlohmann::json ObjectToJson(const StoredObject& object);

/// @brief Reads what ObjectToJson writes.
absl::StatusOr<StoredObject> ObjectFromJson(const nlohmann::json& value);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_OBJECT_ANSWERS_H_
