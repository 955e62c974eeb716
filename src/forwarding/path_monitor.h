#ifndef MEADOWTHREAD_FORWARDING_PATH_MONITOR_H_
#define MEADOWTHREAD_FORWARDING_PATH_MONITOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief Decides which backend servers this host has lost its network path to,
/// as opposed to servers that are down.
///
/// Each server has a path of its own, as a host may reach some servers and not
/// others. A path is lost once another host has reached a server that this host
/// could not, or once several connections in a row were reset. It is back after
/// as many successful connections as earlier returns have shown to be needed.
/// A server that was not connected to of late is taken to be like most of those
/// that were.
///
/// The path as a whole is lost once new connections to several servers have
/// failed and none has succeeded since, and is back with the first that
/// succeeds; the paths to these servers are lost with it, and not back with it.
/// Connections that are already open say nothing: they may live on while new
/// ones fail.
class PathMonitor {
 public:
  using Listener = std::function<void(bool is_lost)>;

  /// @param[in] clock outlives this
  explicit PathMonitor(const Clock& clock) : clock(clock) {}
  PathMonitor(const PathMonitor&) = delete;
  PathMonitor& operator=(const PathMonitor&) = delete;

  /// @brief Sets how many servers this host may connect to.
  void SetServers(std::size_t count) { this->servers = count; }

  /// @brief Sets the function that is called when the path as a whole is lost
  /// or back.
  void SetListener(const Listener& callback) { this->listener = callback; }

  /// @brief A new connection to a server was opened and not reset at once.
  void NoteConnected(std::string_view address);

  /// @brief A new connection to a server was refused or took too long.
  void NoteConnectFailed(std::string_view address);

  /// @brief A new connection to a server was opened and ended without an
  /// answer.
  void NoteReset(std::string_view address);

  /// @brief An open connection to a server ended without an answer. The server
  /// is probed.
  void NoteSuspect(std::string_view address);

  /// @brief Another host has reached a server that this host could not.
  void NoteReachedElsewhere(std::string_view address);

  /// @brief Other hosts fared no better with a server: it counts as down for
  /// some time, and not as one whose path is lost.
  void NoteDownElsewhere(std::string_view address);

  /// @brief Whether the path to the servers as a whole is lost.
  bool IsLost() const { return this->lost; }

  /// @brief Whether the path to one server is lost.
  /// @complexity constant while no path is lost, else O(known servers)
  bool IsLost(std::string_view address) const;

  /// @brief Whether the path to one server is lost, as opposed to presumed so.
  bool IsPathLost(std::string_view address) const;

  /// @brief Whether another host may be asked to send what this host could not.
  bool MayAskElsewhere(std::string_view address) const;

  /// @brief Whether the path to any server is lost.
  bool HasLostPath() const { return this->lost || this->paths_lost > 0; }

  /// @brief Number of servers whose own paths are lost.
  std::size_t LostPaths() const { return this->paths_lost; }

  /// @brief Whether servers that were not connected to of late count as
  /// unreachable.
  bool PresumesLost() const;

  /// @brief The servers to connect to now, to notice that their paths are back:
  /// those probed longest ago first.
  std::vector<std::string> TakeProbes(std::size_t count);

  /// @brief Drops what is known of a server that is gone.
  void Forget(std::string_view address);

 private:
  /// What is known of the path to one server.
  struct Path {
    bool lost = false;
    bool suspect = false;
    int failures = 0;    ///< in a row
    int resets = 0;      ///< in a row
    int successes = 0;   ///< in a row, while it is lost
    int times_down = 0;  ///< in a row
    std::int64_t reached_ms = 0;
    std::int64_t changed_ms = 0;
    std::int64_t down_until_ms = 0;
    std::int64_t probed_ms = 0;
  };

  std::size_t CountToLose() const;
  void CountFailure(std::string_view address, Path* path);
  void SetLost(bool is_lost, std::string_view address);
  void SetPathLost(std::string_view address, Path* path, bool is_lost,
                   std::string_view why);
  void NoteRecovering(std::string_view address);
  void NoteRelapse();
  int SuccessesNeeded() const;
  bool IsDown(const Path& path) const;
  bool WasReachedOfLate(const Path& path) const;

  const Clock& clock;
  Listener listener;
  std::size_t servers = 0;
  /// When the last connection to each server failed, of those that have failed
  /// since a connection succeeded; by address.
  StringMap<std::int64_t> failed_ms;
  StringMap<Path> paths;  ///< by address
  /// Servers that counted as unreachable and were reached since one failed.
  StringMap<bool> recovering;
  std::size_t paths_lost = 0;
  /// When the first of the lost paths was lost.
  std::int64_t lost_since_ms = 0;
  int relapses = 0;  ///< paths that were lost again soon after they were back
  std::int64_t relapsed_ms = 0;
  std::int64_t changed_ms = 0;  ///< when the whole path was last lost or back
  bool lost = false;            ///< the path as a whole
};

/// @brief Notes what the end of a call to a server shows of the path to it.
/// @param[in] has_head whether the server's answer had begun
void NotePath(PathMonitor& monitor, std::string_view address,
              const HttpCallResult& end, bool has_head);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_FORWARDING_PATH_MONITOR_H_
