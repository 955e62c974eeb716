#ifndef MEADOWTHREAD_QUARANTINE_SERVER_CRASH_DETECTOR_H_
#define MEADOWTHREAD_QUARANTINE_SERVER_CRASH_DETECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "net/listen_probe.h"
#include "quarantine/crash_record.h"

namespace meadowthread {

/// @brief A run whose server stopped responding without having announced a
/// stop.
struct InterruptedRun {
  CrashRecordId id;
  std::string route;
  std::string request;
  std::string server;   ///< key of the server process, see Backend::key
  std::string address;  ///< IP:PORT
  bool before_any_answer = false;  ///< the run had produced no output
  /// The run timed out without output, while its connection stayed open.
  bool timed_out = false;
  /// Shared parts of its prompt that may have caused the crash; none if the run
  /// had gone well for long enough.
  std::vector<std::string> parts;
};

/// @brief Determines for interrupted runs whether the server crashed. A broken
/// connection alone does not show a crash: connections break for many reasons,
/// most of which have nothing to do with the run.
class ServerCrashDetector {
 public:
  /// Called with a record for each run whose server crashed.
  using Listener = std::function<void(const CrashRecord&)>;

  /// @param[in] check,clock,scheduler must outlive this
  ServerCrashDetector(ListenProbe& check, const Clock& clock,
                      Scheduler& scheduler, Listener listener);
  ServerCrashDetector(const ServerCrashDetector&) = delete;
  ServerCrashDetector& operator=(const ServerCrashDetector&) = delete;

  /// @brief Starts to check the server of an interrupted run.
  void Add(const InterruptedRun& run);

  /// @brief Called when a server has gone, or was restarted under the same id,
  /// without having announced a stop.
  void NoteGone(std::string_view server);

 private:
  struct PendingRun {
    InterruptedRun run;
    std::int64_t unix_ms = 0;
    /// The server accepted a connection after the run was interrupted.
    bool was_listening = false;
  };

  void Probe(const InterruptedRun& run);
  void OnProbed(const std::string& server, ListenProbeResult state);
  void ReportCrash(std::string_view server, std::string_view cause);
  void DropExpired();

  ListenProbe& check;
  const Clock& clock;
  Scheduler& scheduler;
  Listener listener;
  std::map<std::string, std::vector<PendingRun>, std::less<>>
      pending;                    ///< by server
  std::set<std::string> probing;  ///< servers with a connection attempt pending
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_SERVER_CRASH_DETECTOR_H_
