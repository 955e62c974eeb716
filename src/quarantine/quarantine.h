#ifndef MEADOWTHREAD_QUARANTINE_QUARANTINE_H_
#define MEADOWTHREAD_QUARANTINE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "base/clock.h"
#include "base/scheduler.h"
#include "net/listen_probe.h"
#include "quarantine/crash_record_table.h"
#include "quarantine/known_good_parts.h"
#include "quarantine/server_crash_detector.h"
#include "quarantine/suspect_parts.h"

namespace meadowthread {

/// @brief Quarantine for request contents, and parts of prompts, that crash the
/// servers which run them. Sessions ask whether a request may be sent, and
/// report how runs end.
class Quarantine {
 public:
  /// Called with a record when its content or part is put in quarantine.
  using Listener = std::function<void(const CrashRecord&)>;

  /// @param[in] check,clock,scheduler must outlive this
  Quarantine(ListenProbe& check, const Clock& clock, Scheduler& scheduler);
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  /// Called with each record that is new or has changed; `is_own` tells whether
  /// this host observed the change itself.
  using ChangeListener =
      std::function<void(const CrashRecord& record, bool is_own)>;

  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }
  void AddChangeListener(const ChangeListener& listener) {
    this->table.AddListener([this, listener](const CrashRecord& record) {
      listener(record, this->adding_own);
    });
  }

  /// @brief Whether any request content of a workspace is suspected.
  bool HasSuspects(std::string_view workspace) const {
    return this->table.HasSuspects(workspace);
  }

  /// @brief For how many milliseconds more a content is in quarantine; nullopt
  /// if it may be sent.
  std::optional<std::int64_t> RemainingQuarantineMs(
      const CrashRecordId& id) const;

  /// @brief For how many milliseconds more a request is in quarantine because
  /// of the parts of its prompt; nullopt if it may be sent.
  std::optional<std::int64_t> RemainingPartQuarantineMs(
      const PromptParts& prompt);

  /// @brief Called when a run has gone well: its parts are not to blame for
  /// earlier crashes.
  /// @param[in] begun_unix_ms when it began to write its answer
  void NoteGoodRun(std::span<const std::string> parts,
                   std::int64_t begun_unix_ms);

  /// @brief The verdict on a record; on a part, from the records of all
  /// workspaces.
  CrashVerdict VerdictOn(const CrashRecord& record);

  /// @brief Called when a run was interrupted at a server that had not
  /// announced a stop.
  void NoteInterrupted(const InterruptedRun& run) { this->detector.Add(run); }

  /// @brief Called when a server has gone without having announced a stop.
  void NoteGone(std::string_view server) { this->detector.NoteGone(server); }

  /// @brief Called when a server has completed a run: clears the content, so
  /// that its earlier crashes no longer count.
  void NoteCompleted(const CrashRecordId& id);

  CrashRecordTable& RecordTable() { return this->table; }

  /// @brief Number of contents in quarantine now.
  std::size_t Count() const;

 private:
  // Some 100 bytes each; more parts are in use only where few share one.
  static constexpr std::size_t kMaxKnownGoodParts = 1'024;

  void AddOwnCrash(CrashRecord record);
  void AddOwnRecord(const CrashRecord& record);
  void Clear(const CrashRecord& record, std::int64_t until_unix_ms);
  void OnRecordChanged(const CrashRecord& record);
  const SuspectParts& Suspects();
  bool IsKnown(const CrashRecordId& id);

  const Clock& clock;
  CrashRecordTable table;
  KnownGoodParts known_good{kMaxKnownGoodParts};
  SuspectParts suspects;
  std::uint64_t suspects_version = 0;  ///< of the table they were taken from
  ServerCrashDetector detector;
  /// For each content or part in quarantine, its number of strikes when the
  /// listeners were last called with it. A part is named by its ID, without a
  /// workspace.
  std::map<CrashRecordId, int> announced;
  std::vector<Listener> listeners;
  bool adding_own = false;  ///< during AddOwnRecord
};

/// @brief The error that a request in quarantine ends with.
/// @param[in] lasts_ms remaining time of the quarantine; the caller is told to
/// retry after it
/// @param[in] may_have_run whether an earlier attempt may have run
absl::Status QuarantinedError(std::int64_t lasts_ms, bool may_have_run);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_QUARANTINE_H_
