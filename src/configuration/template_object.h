#ifndef MEADOWTHREAD_CONFIGURATION_TEMPLATE_OBJECT_H_
#define MEADOWTHREAD_CONFIGURATION_TEMPLATE_OBJECT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief One accepted change of a template.
struct TemplateEntry {
  std::string operation;  ///< unique id of the operator's command
  std::string author;
  std::int64_t unix_ms = 0;
  std::string yaml;
  /// The object's version. Not stored for the newest entry, whose version is
  /// that of the object.
  std::int64_t version = 0;

  friend bool operator==(const TemplateEntry&, const TemplateEntry&) = default;
};

/// @brief The content of the stored object `templates/{name}`.
struct TemplateObject {
  TemplateEntry current;
  std::vector<TemplateEntry> history;  ///< newest first, without `current`
};

/// @brief Maximum number of earlier versions kept in an object.
inline constexpr std::size_t kMaxHistory = 8;

/// @brief Encodes the stored object's value.
std::string TemplateToJson(const TemplateObject& object);

/// @brief Decodes a stored object's value; an error names the invalid field.
/// @param[in] version the object's version
absl::StatusOr<TemplateObject> TemplateFromJson(std::string_view value,
                                                std::int64_t version);

/// @brief The object after a change. The stored version becomes the newest
/// history entry; the oldest entries are dropped until the object fits.
/// @param[in] limit_bytes maximum size of the object's value
TemplateObject NextTemplateObject(const TemplateObject& stored,
                                  const TemplateEntry& next,
                                  std::size_t limit_bytes);

/// @brief Maximum number of earlier versions that hosts keep and exchange.
inline constexpr std::size_t kMaxReplicatedHistory = 1;

/// @brief The object with at most kMaxReplicatedHistory earlier versions, as
/// hosts keep it. An object that cannot be read is returned unchanged.
StoredObject WithoutOldHistory(const StoredObject& object);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEMPLATE_OBJECT_H_
