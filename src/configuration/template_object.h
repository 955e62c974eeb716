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
  std::string operation;  ///< id of the operator's command
  std::string author;
  std::int64_t unix_ms = 0;
  std::string yaml;
  /// The object's version; not stored for the newest, which is the object's.
  std::int64_t version = 0;

  friend bool operator==(const TemplateEntry&, const TemplateEntry&) = default;
};

/// @brief What is stored under `templates/{name}`.
struct TemplateObject {
  TemplateEntry current;
  std::vector<TemplateEntry> history;  ///< newest first, without `current`
};

/// @brief Most earlier versions kept in an object.
inline constexpr std::size_t kMaxHistory = 8;

/// @brief The object's value.
std::string TemplateToJson(const TemplateObject& object);

/// @brief Reads an object's value; an error names the field at fault.
/// @param[in] version the object's
absl::StatusOr<TemplateObject> TemplateFromJson(std::string_view value,
                                                std::int64_t version);

/// @brief The object after a change: the standing version becomes the newest
/// of the history, whose oldest are dropped until it fits.
/// @param[in] limit_bytes of the object's value
TemplateObject NextTemplateObject(const TemplateObject& standing,
                                  const TemplateEntry& next,
                                  std::size_t limit_bytes);

/// @brief Most earlier versions that hosts hold and tell each other.
inline constexpr std::size_t kMaxReplicatedHistory = 1;

/// @brief A template's object as hosts hold it: with its newest history only.
/// An object that cannot be read stays as it is.
StoredObject WithoutOldHistory(const StoredObject& object);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEMPLATE_OBJECT_H_
