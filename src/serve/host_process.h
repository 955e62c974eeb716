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

/// @brief Secrets read from the files that the settings name.
struct SecretKeys {
  std::vector<std::string> resume_keys;  ///< the first one signs, all verify
};

/// @brief Reads the secrets. Without a key file, the host generates a random
/// key; other hosts then cannot verify its resume tokens.
absl::StatusOr<SecretKeys> ReadSecretKeys(const Settings& settings);

/// @brief The process of an entry host: creates and connects all its
/// components.
class HostProcess {
 public:
  HostProcess(const Settings& settings, const SecretKeys& keys);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  /// @brief Starts to listen and to run the periodic tasks.
  absl::Status Start();

  /// @brief Begins a planned stop: rejects new work, finishes running requests,
  /// then quits the event loop. From the second stop request on, streams that
  /// can continue at another host are handed over.
  /// @param[in] times number of stop requests so far
  void Stop(int times);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_HOST_PROCESS_H_
