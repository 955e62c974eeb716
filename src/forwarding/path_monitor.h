#ifndef MEADOWTHREAD_FORWARDING_PATH_MONITOR_H_
#define MEADOWTHREAD_FORWARDING_PATH_MONITOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief Decides whether this host has lost its network path to the backend
/// servers, as opposed to servers that are down.
///
/// A path counts as lost once new connections to several servers have failed
/// and none has succeeded since. It counts as back with the first connection
/// that succeeds. Connections that are already open say nothing: they may live
/// on while new ones fail.
class PathMonitor {
 public:
  using Listener = std::function<void(bool is_lost)>;

  /// @param[in] clock outlives this
  explicit PathMonitor(const Clock& clock) : clock(clock) {}
  PathMonitor(const PathMonitor&) = delete;
  PathMonitor& operator=(const PathMonitor&) = delete;

  /// @brief Sets how many servers this host may connect to.
  void SetServers(std::size_t count) { this->servers = count; }

  /// @brief Sets the function that is called when the path is lost or back.
  void SetListener(const Listener& callback) { this->listener = callback; }

  /// @brief A new connection to a server was opened.
  void NoteConnected(std::string_view address);

  /// @brief A new connection to a server was refused, reset or took too long.
  void NoteConnectFailed(std::string_view address);

  /// @brief Whether the path to the servers is lost.
  bool IsLost() const { return this->lost; }

 private:
  std::size_t CountToLose() const;
  void SetLost(bool is_lost, std::string_view address);

  const Clock& clock;
  Listener listener;
  std::size_t servers = 0;
  /// When the last connection to each server failed, of those that have failed
  /// since a connection succeeded; by address.
  StringMap<std::int64_t> failed_ms;
  std::int64_t changed_ms = 0;  ///< when the path was last lost or back
  bool lost = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_FORWARDING_PATH_MONITOR_H_
