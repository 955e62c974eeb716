#ifndef MEADOWTHREAD_HOSTS_HOST_LIST_POLLER_H_
#define MEADOWTHREAD_HOSTS_HOST_LIST_POLLER_H_

#include <cstdint>
#include <string>

#include "base/scheduler.h"
#include "hosts/host_directory.h"
#include "net/http_client.h"

namespace meadowthread {

/// @brief Polls the platform's host list and passes it to the directory.
class HostListPoller {
 public:
  /// @param[in] client,scheduler,directory outlive the poller
  /// @param[in] period_ms time from an answer to the next request
  HostListPoller(HttpClient& client, Scheduler& scheduler,
                 HostDirectory& directory, std::string_view url,
                 std::int64_t period_ms);

  /// @brief Reads the list now and then periodically.
  void Start();

 private:
  void Poll();
  void OnFetched(const FetchResult& fetched);
  void LogSkippedEntries(const HostList& list);

  HttpClient& client;
  Scheduler& scheduler;
  HostDirectory& directory;
  std::string url;
  std::int64_t period_ms;
  bool failing = false;     ///< the last read failed
  int skipped_entries = 0;  ///< in the last list that was read
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_HOSTS_HOST_LIST_POLLER_H_
