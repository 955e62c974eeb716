#ifndef MEADOWTHREAD_QUARANTINE_QUARANTINE_H_
#define MEADOWTHREAD_QUARANTINE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "base/clock.h"
#include "base/scheduler.h"
#include "net/listen_probe.h"
#include "quarantine/crash_record_table.h"
#include "quarantine/server_crash_detector.h"

namespace meadowthread {

/// @brief Quarantine for request contents that crash the servers which run
/// them. Sessions ask whether a content may be sent, and report how runs end.
class Quarantine {
 public:
  /// Called with each content when it is put in quarantine.
  using Listener = std::function<void(const CrashRecordId&)>;

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
  void AddOwnRecord(const CrashRecord& record);
  void OnRecordChanged(const CrashRecord& record);

  const Clock& clock;
  CrashRecordTable table;
  ServerCrashDetector detector;
  /// For each content in quarantine, its number of strikes when the listeners
  /// were last called with it.
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
