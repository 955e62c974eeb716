#ifndef MEADOWTHREAD_FORWARDING_FORWARD_SERVICE_H_
#define MEADOWTHREAD_FORWARDING_FORWARD_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "forwarding/forward_protocol.h"
#include "forwarding/path_monitor.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace meadowthread {

/// @brief What a host takes orders for.
struct ForwardServiceOptions {
  std::string key;        ///< its secret key; orders must carry it
  std::string authority;  ///< IP:PORT at which it takes orders
  /// Most attempts of other hosts in progress, so that they can't take the
  /// memory that its own callers need.
  std::size_t max_running = 0;
  /// Whether an address is that of a known server.
  std::function<bool(std::string_view address)> is_server;
  /// Whether the server at an address has asked this host to back off.
  std::function<bool(std::string_view address)> is_in_backoff = {};
  /// Called with the head of a server's answer. What it says to the host that
  /// sent the request holds for this host, too.
  std::function<void(std::string_view address, int http_status,
                     std::span<const HttpHeader> headers)>
      on_head = {};
};

/// @brief Sends attempts to servers for other hosts, and passes the answers
/// back as they arrive. An order is never passed on to a third host.
class ForwardService final : public HttpService {
 public:
  /// @param[in] client,monitor,scheduler outlive this
  ForwardService(ForwardServiceOptions options, HttpClient& client,
                 PathMonitor& monitor, Scheduler& scheduler);
  ~ForwardService() override;
  ForwardService(const ForwardService&) = delete;
  ForwardService& operator=(const ForwardService&) = delete;

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override;

  /// @brief Sets the key that orders must carry from now on.
  void SetKey(std::string_view key) { this->options.key = key; }

  /// @brief Takes no orders from now on; those in progress go on.
  void BeginStop() { this->stopping = true; }

  /// @brief Number of attempts in progress.
  std::size_t Running() const { return this->calls.size(); }
  /// @brief Number of attempts taken since the start of the process.
  std::int64_t Taken() const { return this->last_number; }

 private:
  class Call;

  /// Why an order is not taken, and what the host that gave it is told.
  struct Refusal {
    std::string_view reason;  ///< for the log; empty: it is taken
    ForwardRefusal why = ForwardRefusal::kOther;
  };

  Refusal RefusalOf(const ForwardOrder& order) const;
  void End(std::int64_t number);

  ForwardServiceOptions options;
  HttpClient& client;
  PathMonitor& monitor;
  Scheduler& scheduler;
  bool stopping = false;
  std::int64_t last_number = 0;
  std::unordered_map<std::int64_t, std::unique_ptr<Call>> calls;
  /// Ended calls, whose functions may still be on the call stack.
  std::vector<std::unique_ptr<Call>> ended;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_FORWARDING_FORWARD_SERVICE_H_
