#ifndef MEADOWTHREAD_QUARANTINE_GUARDED_RUN_H_
#define MEADOWTHREAD_QUARANTINE_GUARDED_RUN_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "quarantine/quarantine.h"

namespace meadowthread {

/// @brief What a request is called, for people and for its record.
struct RunNames {
  std::string workspace;
  std::string route;  ///< or template
  std::string request;
};

/// @brief A server that had not told that it would leave.
struct RunServer {
  std::string key;      ///< of its one start
  std::string address;  ///< IP:PORT
};

/// @brief A session's way to the quarantine. The content's key is made when it
/// is first needed: nearly always never.
class GuardedRun {
 public:
  using MakeKey = std::function<std::string()>;

  /// @param[in] quarantine outlives this
  /// @param[in] make_key see ContentKeyOf
  GuardedRun(Quarantine& quarantine, RunNames names, MakeKey make_key)
      : quarantine(quarantine),
        names(std::move(names)),
        make_key(std::move(make_key)) {}
  GuardedRun(const GuardedRun&) = delete;
  GuardedRun& operator=(const GuardedRun&) = delete;

  /// @brief How long no server may get it, milliseconds; nullopt: one may.
  std::optional<std::int64_t> QuarantinedForMs();

  /// @brief Whether it is a try of this content.
  bool Is(const CrashRecordId& other);

  /// @brief Its connection to a server broke after bytes were sent.
  /// @param[in] server nullopt: the server had told that it would leave, and
  /// its end is no request's doing
  void NoteCut(const std::optional<RunServer>& server, bool before_any_answer);

  /// @brief Its time was over and the server had said nothing.
  void NoteSilent(const std::optional<RunServer>& server);

  /// @brief A server answered it to its end.
  void NoteWhole();

  const std::string& Content();

 private:
  CrashRecordId Id();
  CutRun RunAt(const RunServer& server);

  Quarantine& quarantine;
  RunNames names;
  MakeKey make_key;
  std::string content;  ///< empty: not made yet
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_GUARDED_RUN_H_
