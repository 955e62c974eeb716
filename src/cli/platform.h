#ifndef MEADOWTHREAD_CLI_PLATFORM_H_
#define MEADOWTHREAD_CLI_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/scheduler.h"
#include "hosts/host_list.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief The reply of one host.
struct HostReply {
  std::string host;
  absl::StatusOr<std::string> body;  ///< JSON text
};

/// @brief Access to the external services that commands use: the object API,
/// the host list and the entry hosts.
class Platform {
 public:
  virtual ~Platform() = default;

  virtual ObjectStore& Store() = 0;

  /// @brief The scheduler of delayed tasks; they run while a command waits.
  virtual Scheduler& Tasks() = 0;

  /// @brief Processes replies until `is_done` returns true.
  /// @return false if the timeout passed first
  virtual bool Wait(const std::function<bool()>& is_done) = 0;

  /// @brief Processes replies for the given time.
  virtual void Pause(std::int64_t pause_ms) = 0;

  /// @brief Reads the host list.
  virtual absl::StatusOr<HostList> ListHosts() = 0;

  /// @brief Requests GET /statusz from all hosts in parallel.
  /// @return one reply per host, in the order of `hosts`
  virtual std::vector<HostReply> AskStatuses(
      std::span<const HostEntry> hosts) = 0;

  /// @brief Calls a JSON-RPC method on all hosts in parallel.
  /// @param[in] params a JSON object as text
  /// @return one reply per host, in the order of `hosts`
  virtual std::vector<HostReply> CallAll(std::span<const HostEntry> hosts,
                                         std::string_view method,
                                         std::string_view params) = 0;
};

/// @brief The URLs of the platform's services and the timeout for calls to
/// them.
struct PlatformAddress {
  std::string object_api;
  std::string host_list;  ///< URL; empty if not known
  std::int64_t timeout_ms = 5000;
};

/// @brief Creates Platform objects; tests substitute a fake.
class PlatformConnector {
 public:
  virtual ~PlatformConnector() = default;

  virtual std::unique_ptr<Platform> Connect(const PlatformAddress& address) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_PLATFORM_H_
