#ifndef MEADOWTHREAD_CONFIGURATION_OBJECT_EDIT_H_
#define MEADOWTHREAD_CONFIGURATION_OBJECT_EDIT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "store/object_store.h"

namespace meadowthread {

/// @brief Whether an operator's change is present in the stored object.
enum class ChangePresence {
  kCurrent,      ///< the stored version is this change
  kSuperseded,   ///< the change was in force; a later change replaced it
  kSameContent,  ///< another operator's change with the same content
  kAbsent,       ///< the change is neither current nor in the history
};

/// @brief Result of looking for a change in the stored object.
struct PresenceResult {
  ChangePresence presence = ChangePresence::kAbsent;
  /// Version at which the change, or its content, was found; 0 if absent.
  std::int64_t version = 0;
};

/// @brief The content that an operator's change writes into one object of the
/// object store.
class ObjectEdit {
 public:
  virtual ~ObjectEdit() = default;

  virtual std::string_view Kind() const = 0;
  virtual std::string_view Name() const = 0;

  /// @brief Looks for this change in the stored object and its history.
  virtual PresenceResult FindIn(const StoredObject& stored) const = 0;

  /// @brief The value to write over the stored object.
  /// @param[in] stored null: there is no object
  virtual std::string NextValue(const StoredObject* stored) const = 0;

  /// @brief Describes the competing change, for the operator whose change was
  /// rejected.
  /// @param[in] base the object that the rejected change was based on; null:
  /// none or unknown
  /// @param[in] stored null: the object was deleted
  virtual std::string Explain(const StoredObject* base,
                              const StoredObject* stored) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_OBJECT_EDIT_H_
