#ifndef MEADOWTHREAD_CONFIGURATION_CHANGE_SUBJECT_H_
#define MEADOWTHREAD_CONFIGURATION_CHANGE_SUBJECT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "store/object_store.h"

namespace meadowthread {

/// @brief What stands, seen from an operator's change.
enum class Standing {
  kOurs,        ///< the change itself
  kOursBefore,  ///< the change was in force and another followed it
  kSame,        ///< somebody else's, with the same content
  kOther,       ///< something else
};

/// @brief How a change relates to the object that stands.
struct StandingVerdict {
  Standing standing = Standing::kOther;
  std::int64_t version = 0;  ///< of the change, where it was or is in force
};

/// @brief What an operator wants to write.
class ChangeSubject {
 public:
  virtual ~ChangeSubject() = default;

  virtual std::string_view Kind() const = 0;
  virtual std::string_view Name() const = 0;

  /// @brief How the change relates to what stands.
  virtual StandingVerdict Judge(const StoredObject& standing) const = 0;

  /// @brief The value to write over what stands.
  /// @param[in] standing null: nothing stands
  virtual std::string NextValue(const StoredObject* standing) const = 0;

  /// @brief Who changed what, for the operator whose change lost.
  /// @param[in] base what the change was based on, null: nothing or unknown
  /// @param[in] standing what stands, null: nothing
  virtual std::string Explain(const StoredObject* base,
                              const StoredObject* standing) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_CHANGE_SUBJECT_H_
