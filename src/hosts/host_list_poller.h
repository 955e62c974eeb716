#ifndef MEADOWTHREAD_HOSTS_HOST_LIST_POLLER_H_
#define MEADOWTHREAD_HOSTS_HOST_LIST_POLLER_H_

#include <cstdint>
#include <string>

#include "base/scheduler.h"
#include "hosts/host_directory.h"
#include "net/http_client.h"

namespace meadowthread {

/// @brief Reads the platform's host list again and again.
class HostListPoller {
 public:
  /// @param[in] client, scheduler, directory outlive the poller
  HostListPoller(HttpClient& client, Scheduler& scheduler,
                 HostDirectory& directory, std::string_view url,
                 std::int64_t period_ms);

  /// @brief Reads now and from then on every period.
  void Start();

 private:
  void Poll();
  void Take(const HttpFetched& fetched);
  void NotePassedOver(const HostList& list);

  HttpClient& client;
  Scheduler& scheduler;
  HostDirectory& directory;
  std::string url;
  std::int64_t period_ms;
  bool failing = false;
  int passed_over = 0;  ///< in the last list that was read
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_HOSTS_HOST_LIST_POLLER_H_
