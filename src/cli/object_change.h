#ifndef MEADOWTHREAD_CLI_OBJECT_CHANGE_H_
#define MEADOWTHREAD_CLI_OBJECT_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cli/platform.h"

namespace meadowthread {

/// @brief What a standing object tells of an operation.
enum class OperationTrace {
  kPresent,  ///< the operation took effect
  kAbsent,   ///< it did not, and over this object it never will
  kUntold,   ///< the object does not go back far enough
};

/// @brief The operation in a standing object.
struct FoundOperation {
  OperationTrace trace = OperationTrace::kUntold;
  std::int64_t version = 0;  ///< at which it took effect
};

/// @brief One operator's change of one object.
class ObjectChange {
 public:
  virtual ~ObjectChange() = default;

  virtual std::string_view Kind() const = 0;
  virtual std::string_view Name() const = 0;

  /// @brief Whether an object says already what is wanted.
  virtual bool IsDoneBy(const StoredObject& standing) const = 0;

  /// @brief The value to write over `standing`; its version is 0 where there
  /// is none.
  virtual std::string NextValue(const StoredObject& standing) const = 0;

  /// @brief Looks this operation up in an object that came after the version
  /// over which it was written.
  virtual FoundOperation Find(const StoredObject& standing,
                              std::int64_t base_version) const = 0;
};

/// @brief How a change ended.
enum class ChangeOutcome {
  kAccepted,     ///< it took effect
  kUnchanged,    ///< what was wanted stood already; nothing was written
  kConflict,     ///< another change stands; this one never took effect
  kUnknown,      ///< it may have taken effect, or may yet
  kUnavailable,  ///< it certainly did not take effect
};

/// @brief A change's end.
struct ChangeEnd {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  /// As accepted, with its version; where it was not, what was last seen.
  StoredObject object;
  absl::Status error;  ///< of the last call
};

/// @brief Makes a change by a conditional write, and settles lost answers by
/// the operation's id: read back, and written again under the same condition.
/// @param[in] if_version the version that must stand; nothing: any
ChangeEnd MakeChange(Platform& platform, const ObjectChange& change,
                     std::optional<std::int64_t> if_version);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_OBJECT_CHANGE_H_
