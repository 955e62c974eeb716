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

/// @brief What one host answered.
struct HostReply {
  std::string host;
  absl::StatusOr<std::string> body;  ///< JSON text
};

/// @brief What commands need of the world outside: the object API, the host
/// list and the entry hosts.
class Platform {
 public:
  virtual ~Platform() = default;

  virtual ObjectStore& Store() = 0;

  /// @brief Runs tasks later, while a command waits.
  virtual Scheduler& Tasks() = 0;

  /// @brief Lets answers come until `is_done`.
  /// @return false where the time limit passed first
  virtual bool Wait(const std::function<bool()>& is_done) = 0;

  /// @brief Lets answers come for a while.
  virtual void Pause(std::int64_t pause_ms) = 0;

  /// @brief Reads the host list.
  virtual absl::StatusOr<HostList> ListHosts() = 0;

  /// @brief Asks each host's GET /statusz, all at once.
  /// @return one reply a host, in their order
  virtual std::vector<HostReply> AskStatuses(
      std::span<const HostEntry> hosts) = 0;

  /// @brief Calls a JSON-RPC method of each host, all at once.
  /// @param[in] params JSON text of an object
  /// @return one reply a host, in their order
  virtual std::vector<HostReply> CallAll(std::span<const HostEntry> hosts,
                                         std::string_view method,
                                         std::string_view params) = 0;
};

/// @brief Where the platform is.
struct PlatformAddress {
  std::string object_api;
  std::string host_list;  ///< empty: not known
  std::int64_t timeout_ms = 5000;
};

/// @brief Makes platforms; tests give their own.
class PlatformConnector {
 public:
  virtual ~PlatformConnector() = default;

  virtual std::unique_ptr<Platform> Connect(const PlatformAddress& address) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_PLATFORM_H_
