#ifndef MEADOWTHREAD_CONFIGURATION_OPERATOR_CHANGE_H_
#define MEADOWTHREAD_CONFIGURATION_OPERATOR_CHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/scheduler.h"
#include "configuration/marks.h"
#include "configuration/template_problem.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief How an operator's change ended.
enum class ChangeOutcome {
  kAccepted,    ///< the conditional update took effect
  kUnchanged,   ///< the same content stood already
  kConflict,    ///< another change stands; see `difference`
  kInvalid,     ///< refused before anything was written; see `problems`
  kNotApplied,  ///< certainly not in force, now or later
  kUnknown,     ///< it may take effect, or may have; see `message`
};

/// @brief What an operator is told.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  std::int64_t version = 0;  ///< where accepted or unchanged
  /// Accepted, and another change followed it at once.
  bool superseded = false;
  /// Conflict, and this change may have been in force before the other.
  bool may_have_been_in_force = false;
  std::string message;     ///< for a person, with what to do next
  std::string difference;  ///< who changed what, line by line
  std::vector<TemplateProblem> problems;
  StoredObject object;  ///< what stands, to be offered to the hosts
};

/// @brief A new version of a template.
struct TemplateChange {
  std::string yaml;
  std::string author;
  /// Unique to the operator's command. The same again settles a change whose
  /// fate is unknown, and never applies it twice.
  std::string operation;
  std::int64_t unix_ms = 0;
  /// The version that the operator worked from; 0: that there was none. Unset:
  /// whatever stands when the command starts.
  std::optional<std::int64_t> base_version;
};

/// @brief How long a change is tried.
struct ChangeOptions {
  int attempts = 6;  ///< of each call to the object API
  std::int64_t first_backoff_ms = 100;
};

using ChangeDone = std::function<void(const ChangeResult&)>;

/// @brief The outcome's name on the command line ("accepted", ...).
std::string_view ChangeOutcomeName(ChangeOutcome outcome);

/// @brief Writes operators' changes by conditional updates.
///
/// A lost answer is settled by reading back and, where nothing is seen, by the
/// same conditional update again: once either has won, a delayed copy of the
/// first can no longer take effect.
class OperatorChanges {
 public:
  /// @param[in] store outlives this and all changes
  /// @param[in] scheduler as the store
  OperatorChanges(ObjectStore& store, Scheduler& scheduler,
                  const ChangeOptions& options = {});

  /// @brief Checks a template and puts it; `done` is called once, possibly
  /// before this returns if the template is invalid.
  void PutTemplate(const TemplateChange& change, const ChangeDone& done);

  /// @brief Marks a host.
  void PutMark(const MarkDocument& mark, const ChangeDone& done);

  /// @brief Empties an availability zone, or takes it back.
  /// @param[in] mark its `host` is the zone's name
  void PutZone(const MarkDocument& mark, const ChangeDone& done);

 private:
  ObjectStore& store;
  Scheduler& scheduler;
  ChangeOptions options;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_OPERATOR_CHANGE_H_
