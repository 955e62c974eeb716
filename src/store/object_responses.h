#ifndef MEADOWTHREAD_STORE_OBJECT_RESPONSES_H_
#define MEADOWTHREAD_STORE_OBJECT_RESPONSES_H_

#include <cstdint>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "net/http_client.h"
#include "nlohmann/json.hpp"
#include "store/object_store.h"

namespace meadowthread {

/// @brief Parses the response to a get; the version is in its ETag.
absl::StatusOr<StoredObject> ParseGetResponse(const FetchResult& fetched,
                                              std::string_view kind,
                                              std::string_view name);

/// @brief Parses the response to a list or a watch.
absl::StatusOr<ObjectList> ParseListResponse(const FetchResult& fetched,
                                             std::string_view step,
                                             std::string_view kind);

/// @brief Parses the response to a put or a delete. Returns the new version, or
/// an error that tells whether the write was certainly not applied.
absl::StatusOr<std::int64_t> ParseWriteResponse(const FetchResult& fetched,
                                                std::string_view step,
                                                std::string_view peer);

/// @brief The JSON form of an object in lists and in messages between hosts.
nlohmann::json ObjectToJson(const StoredObject& object);

/// @brief Parses the output of ObjectToJson.
absl::StatusOr<StoredObject> ObjectFromJson(const nlohmann::json& value);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_OBJECT_RESPONSES_H_
