#ifndef MEADOWTHREAD_CONFIGURATION_CONDITIONAL_CHANGE_H_
#define MEADOWTHREAD_CONFIGURATION_CONDITIONAL_CHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/scheduler.h"
#include "configuration/change_subject.h"
#include "configuration/operator_change.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief One change on its way: read, conditional update, and reading back
/// until its fate is settled or the attempts are used up.
///
/// Lives as long as a call or a timer of its own is awaited.
class ConditionalChange
    : public std::enable_shared_from_this<ConditionalChange> {
 public:
  ConditionalChange(ObjectStore& store, Scheduler& scheduler,
                    const ChangeOptions& options,
                    std::unique_ptr<ChangeSubject> subject,
                    const ChangeDone& done);

  /// @brief Starts the change.
  /// @param[in] base_version what must stand; unset: whatever does
  void Start(std::optional<std::int64_t> base_version);

 private:
  using Step = void (ConditionalChange::*)();

  void ReadFirst();
  void TakeFirst(const absl::StatusOr<StoredObject>& answer);
  void Write();
  void Written(const absl::StatusOr<std::int64_t>& answer);
  void ReadBack();
  void TakeBack(const absl::StatusOr<StoredObject>& answer);
  bool FinishIfOurs(const StoredObject& standing);
  bool IsSame(const StoredObject& standing) const;
  void ConfirmSame(const StoredObject& standing);
  void Again(Step step);
  void FinishApplied(std::int64_t version);
  void FinishConflict(const StoredObject* standing);
  void FinishUnsettled();
  void Finish(const ChangeResult& result);

  ObjectStore& store;
  Scheduler& scheduler;
  ChangeOptions options;
  std::unique_ptr<ChangeSubject> subject;
  ChangeDone done;
  std::optional<std::int64_t> base_version;
  std::optional<StoredObject> base;  ///< what stood at the start
  std::string value;
  std::int64_t expected = 0;
  int failures = 0;
  bool confirms_same = false;    ///< the update changes no content
  bool has_conflict = false;     ///< an update met another version
  bool may_have_landed = false;  ///< an update's fate is unknown
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_CONDITIONAL_CHANGE_H_
