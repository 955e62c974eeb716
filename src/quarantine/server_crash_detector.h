#ifndef MEADOWTHREAD_QUARANTINE_SERVER_END_WATCH_H_
#define MEADOWTHREAD_QUARANTINE_SERVER_END_WATCH_H_

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
#include "net/listen_check.h"
#include "quarantine/crash_record.h"

namespace meadowthread {

/// @brief A run whose server said nothing more, though it had not told that it
/// would leave.
struct CutRun {
  CrashRecordId id;
  std::string route;
  std::string request;
  std::string server;   ///< key of its one start, see Backend
  std::string address;  ///< IP:PORT
  bool before_any_answer = false;
  /// Nothing came until its time was over; its connection stood.
  bool was_silent = false;
};

/// @brief Finds out of which cut runs the server has ended: connections break
/// for many reasons, and most of them say nothing of the run.
class ServerEndWatch {
 public:
  /// Told of each run that its server ended under.
  using Listener = std::function<void(const CrashRecord&)>;

  /// @param[in] check,clock,scheduler outlive this
  ServerEndWatch(ListenCheck& check, const Clock& clock, Scheduler& scheduler,
                 Listener listener);
  ServerEndWatch(const ServerEndWatch&) = delete;
  ServerEndWatch& operator=(const ServerEndWatch&) = delete;

  /// @brief Begins to find out.
  void Add(const CutRun& run);

  /// @brief A server is gone, or its id has another start, and it never said
  /// that it would leave.
  void NoteGone(std::string_view server);

 private:
  struct Waiting {
    CutRun run;
    std::int64_t unix_ms = 0;
    bool found_alive = false;  ///< its server took connections after the cut
  };

  void Ask(const CutRun& run);
  void TakeState(const std::string& server, ListenState state);
  void End(std::string_view server, std::string_view how);
  void DropOld();

  ListenCheck& check;
  const Clock& clock;
  Scheduler& scheduler;
  Listener listener;
  std::map<std::string, std::vector<Waiting>, std::less<>> waiting;
  std::set<std::string> asking;  ///< servers whose answer is awaited
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_SERVER_END_WATCH_H_
