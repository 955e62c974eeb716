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
#include "net/listen_check.h"
#include "quarantine/crash_book.h"
#include "quarantine/server_crash_detector.h"

namespace meadowthread {

/// @brief Keeps contents that end the servers which run them away from the
/// rest: what a host's sessions ask and tell.
class Quarantine {
 public:
  /// Told of each content that is put in quarantine now.
  using Listener = std::function<void(const CrashRecordId&)>;

  /// @param[in] check,clock,scheduler outlive this
  Quarantine(ListenCheck& check, const Clock& clock, Scheduler& scheduler);
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  /// Told of each record that has something new, and whether this host saw it.
  using ChangeListener =
      std::function<void(const CrashRecord& record, bool is_own)>;

  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }
  void AddChangeListener(const ChangeListener& listener) {
    this->book.AddListener([this, listener](const CrashRecord& record) {
      listener(record, this->taking_own);
    });
  }

  /// @brief Whether anything speaks against one of a workspace's contents.
  bool HasSuspects(std::string_view workspace) const {
    return this->book.HasSuspects(workspace);
  }

  /// @brief How long no server may get it, milliseconds; nullopt: one may.
  std::optional<std::int64_t> LastsMs(const CrashRecordId& id) const;

  /// @brief A run was cut by a server that had not told that it would leave.
  void NoteCut(const CutRun& run) { this->watch.Add(run); }

  /// @brief A server is gone that never told that it would leave.
  void NoteGone(std::string_view server) { this->watch.NoteGone(server); }

  /// @brief A server answered a run to its end.
  void NoteWhole(const CrashRecordId& id);

  CrashBook& Book() { return this->book; }

  /// @brief Contents in quarantine now.
  std::size_t Count() const;

 private:
  void TakeOwn(const CrashRecord& record);
  void TakeChange(const CrashRecord& record);

  const Clock& clock;
  CrashBook book;
  ServerEndWatch watch;
  /// In quarantine, as listeners were told: with the strikes of then.
  std::map<CrashRecordId, int> told;
  std::vector<Listener> listeners;
  bool taking_own = false;
};

/// @brief The end of a request that is in quarantine.
/// @param[in] lasts_ms when a try may be sent again at the earliest
/// @param[in] may_have_run an earlier attempt of the same try may have
absl::Status QuarantinedError(std::int64_t lasts_ms, bool may_have_run);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_QUARANTINE_H_
