#ifndef MEADOWTHREAD_QUARANTINE_REQUEST_QUARANTINE_H_
#define MEADOWTHREAD_QUARANTINE_REQUEST_QUARANTINE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quarantine/quarantine.h"

namespace meadowthread {

/// @brief Identifies a request, in its crash record and to operators.
struct RunIdentity {
  std::string workspace;
  std::string route;  ///< route or template
  std::string request;
  /// IDs of the parts of its prompt that other requests may share.
  std::vector<std::string> shared_parts;
};

/// @brief Identifies a server process. Passed only for a process that had not
/// announced a stop.
struct ServerInstance {
  std::string key;      ///< of the server process, see Backend::key
  std::string address;  ///< IP:PORT
};

/// @brief The quarantine as one request's session uses it: asks whether the
/// request may be sent, and reports how its runs end.
///
/// The content key is computed when it is first needed. Most requests never
/// need it, and computing it takes time linear in the body.
class RequestQuarantine {
 public:
  using KeyFunction = std::function<std::string()>;

  /// @param[in] quarantine must outlive this
  /// @param[in] make_key computes the content key, see ContentKeyOf
  RequestQuarantine(Quarantine& quarantine, RunIdentity identity,
                    KeyFunction make_key)
      : quarantine(quarantine),
        identity(std::move(identity)),
        make_key(std::move(make_key)) {}
  RequestQuarantine(const RequestQuarantine&) = delete;
  RequestQuarantine& operator=(const RequestQuarantine&) = delete;

  /// @brief For how many milliseconds more the request is in quarantine;
  /// nullopt if it may be sent.
  std::optional<std::int64_t> QuarantinedForMs();

  /// @brief Whether a record that has been put in quarantine keeps the request
  /// from servers.
  bool IsQuarantinedBy(const CrashRecord& record);

  /// @brief Called when the connection to the server broke after the request
  /// was sent.
  /// @param[in] server nullopt if the server had announced that it would stop,
  /// so that the request is not the cause
  /// @param[in] before_any_answer whether the run had produced no output yet
  void NoteInterrupted(const std::optional<ServerInstance>& server,
                       bool before_any_answer);

  /// @brief Called when the request timed out before any part of the answer was
  /// forwarded to the caller. The run counts as one without output.
  void NoteTimedOut(const std::optional<ServerInstance>& server);

  /// @brief Called when a run has gone on well for some time, or has ended
  /// well. A later end of its server is not blamed on the parts of its prompt.
  /// @param[in] begun_unix_ms when it began to write its answer
  void NoteGoodRun(std::int64_t begun_unix_ms);

  /// @brief Called when a server has completed the request.
  void NoteCompleted();

  /// @brief The content key.
  const std::string& Content();

 private:
  CrashRecordId Id();
  InterruptedRun InterruptedRunAt(const ServerInstance& server);

  Quarantine& quarantine;
  RunIdentity identity;
  KeyFunction make_key;
  std::string content;  ///< empty: not computed yet
  bool had_good_run = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_REQUEST_QUARANTINE_H_
