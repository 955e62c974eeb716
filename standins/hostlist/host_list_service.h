#ifndef MEADOWTHREAD_STANDINS_HOSTLIST_HOST_LIST_SERVICE_H_
#define MEADOWTHREAD_STANDINS_HOSTLIST_HOST_LIST_SERVICE_H_

#include "hostlist/host_history.h"
#include "http/http_listener.h"
#include "http/standin_clock.h"

namespace meadowthread::standins {

/// @brief The platform's host list over HTTP; shows changes with a delay.
class HostListService final : public HttpService {
 public:
  /// @param[in] lag_ms delay until a change is visible
  explicit HostListService(std::int64_t lag_ms) : lag_ms(lag_ms) {}

  /// @brief Sets the initial list, which is visible at once.
  void SetFirst(const nlohmann::json& hosts) { this->history.Set(hosts, 0); }

  void Handle(const Request& request, const ExchangePtr& exchange) override;

 private:
  void ShowList(const ExchangePtr& exchange);
  void Change(const Request& request, const ExchangePtr& exchange);
  void ChangeFaults(const Request& request, const ExchangePtr& exchange);

  StandinClock clock;
  HostHistory history;
  std::int64_t lag_ms;
  std::int64_t reads = 0;
  bool down = false;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HOSTLIST_HOST_LIST_SERVICE_H_
