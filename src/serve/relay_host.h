#ifndef MEADOWTHREAD_SERVE_RELAY_HOST_H_
#define MEADOWTHREAD_SERVE_RELAY_HOST_H_

#include <memory>

#include "absl/status/status.h"
#include "serve/relay_platform.h"
#include "settings/relay_settings.h"

namespace meadowthread {

/// @brief One relay host: every slice put together.
class RelayHost {
 public:
  /// @param[in] platform outlives the host
  RelayHost(const RelaySettings& settings, RelayPlatform& platform);
  ~RelayHost();
  RelayHost(const RelayHost&) = delete;
  RelayHost& operator=(const RelayHost&) = delete;

  /// @brief Listens and begins its duties.
  absl::Status Start();

  /// @brief A planned stop: unready at once, finishes what runs, then ends the
  /// event loop.
  void Stop();

  /// @brief Takes over what may change while it runs.
  void Reload(const RelaySettings& settings);

 private:
  class Parts;
  std::unique_ptr<Parts> parts;
};

/// @brief Runs a relay host until it is stopped.
/// @param[in] settings_file read again on SIGHUP
/// @return the process's exit code
int RunRelay(const RelaySettings& settings, std::string_view settings_file,
             RelayPlatform& platform);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_RELAY_HOST_H_
