#ifndef MEADOWTHREAD_SERVE_HOST_PROCESS_H_
#define MEADOWTHREAD_SERVE_HOST_PROCESS_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief Secrets read from the files that settings name.
struct SecretKeys {
  std::vector<std::string> resume_keys;  ///< the first signs
};

/// @brief Reads them; a host without a file makes a key of its own, which no
/// other host can check.
absl::StatusOr<SecretKeys> ReadSecretKeys(const Settings& settings);

/// @brief One entry host: every slice put together.
class HostProcess {
 public:
  HostProcess(const Settings& settings, const SecretKeys& keys);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  /// @brief Listens and begins its duties.
  absl::Status Start();

  /// @brief A planned stop: takes nothing new, finishes what runs, then ends
  /// the event loop. A second call hands over what can be handed over.
  /// @param[in] times how often a stop was asked for
  void Stop(int times);

 private:
  class Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_HOST_PROCESS_H_
