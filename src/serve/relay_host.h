#ifndef MEADOWTHREAD_SERVE_RELAY_HOST_H_
#define MEADOWTHREAD_SERVE_RELAY_HOST_H_

#include <memory>

#include "absl/status/status.h"
#include "serve/relay_platform.h"
#include "settings/relay_settings.h"

namespace meadowthread {

/// @brief The process of a relay host: creates and connects all its components.
class RelayHost {
 public:
  /// @param[in] settings as read from the settings file
  /// @param[in] platform outlives the host
  RelayHost(const RelaySettings& settings, RelayPlatform& platform);
  ~RelayHost();
  RelayHost(const RelayHost&) = delete;
  RelayHost& operator=(const RelayHost&) = delete;

  /// @brief Starts to listen and to run the periodic tasks.
  absl::Status Start();

  /// @brief Begins a planned stop: reports not ready at once, finishes running
  /// requests, then quits the event loop.
  void Stop();

  /// @brief Applies the settings that may change at run time: retries and
  /// limits.
  void Reload(const RelaySettings& settings);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

/// @brief Runs a relay host until it is stopped.
/// @param[in] settings_file path; read again on SIGHUP
/// @return the process's exit code
int RunRelay(const RelaySettings& settings, std::string_view settings_file,
             RelayPlatform& platform);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_RELAY_HOST_H_
