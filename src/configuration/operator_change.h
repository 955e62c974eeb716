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
  kUnchanged,   ///< the object already had this content
  kConflict,    ///< another change is in force; see `difference`
  kInvalid,     ///< rejected before anything was written; see `problems`
  kNotApplied,  ///< the change has no effect, now or later
  kUnknown,     ///< the change may be in force or may yet be; see `message`
};

/// @brief Result of an operator's change.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  std::int64_t version = 0;  ///< set if accepted or unchanged
  /// The change was accepted, but a later change has replaced it.
  bool superseded = false;
  /// On a conflict: this change may have been in force before the other one.
  bool may_have_been_in_force = false;
  std::string message;     ///< explains the outcome and what to do next
  std::string difference;  ///< author and line diff of the other change
  std::vector<TemplateProblem> problems;
  StoredObject object;  ///< the object in force, to be offered to the hosts
};

/// @brief A new version of a template.
struct TemplateChange {
  std::string yaml;
  std::string author;
  /// Idempotency key of the operator's command. Running a command again with
  /// the same key resolves an unknown outcome and never applies the change
  /// twice.
  std::string operation;
  std::int64_t unix_ms = 0;
  /// The version that the operator edited; 0: there was no object. Unset: the
  /// version that is stored when the command starts.
  std::optional<std::int64_t> base_version;
};

/// @brief Retry limits of a change.
struct ChangeOptions {
  int attempts = 6;  ///< failed steps after which the change is given up
  std::int64_t first_backoff_ms = 100;
};

using ChangeDone = std::function<void(const ChangeResult&)>;

/// @brief The outcome's name in command-line output ("accepted", ...).
std::string_view ChangeOutcomeName(ChangeOutcome outcome);

/// @brief Writes operators' changes by conditional updates.
///
/// If the answer to an update is lost, the object is read back. If the change
/// is not visible, the same conditional update is sent again: once one copy has
/// been applied, the condition of a delayed one fails.
class OperatorChanges {
 public:
  /// @param[in] store must outlive this object and all changes
  /// @param[in] scheduler must outlive this object and all changes
  OperatorChanges(ObjectStore& store, Scheduler& scheduler,
                  const ChangeOptions& options = {});

  /// @brief Validates and stores a template. `done` is called once; if the
  /// template is invalid, before this returns.
  void PutTemplate(const TemplateChange& change, const ChangeDone& done);

  /// @brief Sets the mark of a host.
  void PutMark(const MarkDocument& mark, const ChangeDone& done);

  /// @brief Drains an availability zone, or returns it to service.
  /// @param[in] mark its `host` field holds the zone's name
  void PutZone(const MarkDocument& mark, const ChangeDone& done);

 private:
  ObjectStore& store;
  Scheduler& scheduler;
  ChangeOptions options;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_OPERATOR_CHANGE_H_
