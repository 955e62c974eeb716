#ifndef MEADOWTHREAD_CONFIGURATION_CONDITIONAL_CHANGE_H_
#define MEADOWTHREAD_CONFIGURATION_CONDITIONAL_CHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/scheduler.h"
#include "configuration/object_edit.h"
#include "configuration/operator_change.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief One change in progress: reads the object, writes it by a conditional
/// update, and reads it back until the outcome is known or the attempts are
/// used up.
///
/// Keeps itself alive while a store call or a retry timer is pending.
class ConditionalChange
    : public std::enable_shared_from_this<ConditionalChange> {
 public:
  ConditionalChange(ObjectStore& store, Scheduler& scheduler,
                    const ChangeOptions& options,
                    std::unique_ptr<ObjectEdit> edit, const ChangeDone& done);

  /// @brief Starts the change.
  /// @param[in] base_version the version that must be stored, 0 for none;
  /// unset: any version
  void Start(std::optional<std::int64_t> base_version);

 private:
  using Step = void (ConditionalChange::*)();

  void ReadCurrent();
  void OnCurrentRead(const absl::StatusOr<StoredObject>& answer);
  void Write();
  void OnWritten(const absl::StatusOr<std::int64_t>& answer);
  void ReadBack();
  void OnReadBack(const absl::StatusOr<StoredObject>& answer);
  bool FinishIfApplied(const StoredObject& stored);
  bool HasSameContent(const StoredObject& stored) const;
  void PrepareVersionOnlyUpdate(const StoredObject& stored);
  void RetryLater(Step step);
  void FinishApplied(std::int64_t version);
  void FinishConflict(const StoredObject* stored);
  void FinishOutOfAttempts();
  void Finish(const ChangeResult& result);

  ObjectStore& store;
  Scheduler& scheduler;
  ChangeOptions options;
  std::unique_ptr<ObjectEdit> edit;
  ChangeDone done;
  std::optional<std::int64_t> base_version;
  std::optional<StoredObject> base;  ///< the object that the change is based on
  std::string value;
  std::int64_t expected = 0;
  int failures = 0;
  bool confirms_same_content = false;  ///< the update changes the version only
  bool has_conflict = false;      ///< an update was rejected: version mismatch
  bool may_have_applied = false;  ///< an update's outcome is unknown
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_CONDITIONAL_CHANGE_H_
