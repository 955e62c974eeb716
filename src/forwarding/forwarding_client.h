#ifndef MEADOWTHREAD_FORWARDING_FORWARDING_CLIENT_H_
#define MEADOWTHREAD_FORWARDING_FORWARDING_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "forwarding/forward_peer_chooser.h"
#include "forwarding/forward_protocol.h"
#include "forwarding/path_monitor.h"
#include "net/http_client.h"

namespace meadowthread {

/// @brief Counters since the start of the process.
struct ForwardingStats {
  std::int64_t forwarded = 0;  ///< attempts that another host was asked to send
  std::int64_t answered = 0;   ///< those whose answer arrived
  std::int64_t not_sent = 0;   ///< those that no host could send
};

/// @brief This host, and how it finds others that may send for it.
struct ForwardingHost {
  std::string name;
  std::string zone;
  /// The other hosts of this host's region.
  std::function<std::vector<ForwardPeer>()> peers;
  /// Whether the server at an address may get new requests; unset: all may.
  std::function<bool(std::string_view address)> accepts_requests = {};
};

/// @brief Sends requests to servers, through another host while this host's
/// path to the server is lost.
///
/// Who may run the request, which server gets it and what its failure means is
/// decided by the caller of this client, on this host. An attempt is sent at
/// most once: it goes to another host only if nothing of it was sent.
class ForwardingClient final : public HttpClient {
 public:
  /// @param[in] host this host
  /// @param[in] direct,monitor,clock,scheduler,random outlive this
  ForwardingClient(ForwardingHost host, HttpClient& direct,
                   PathMonitor& monitor, const Clock& clock,
                   Scheduler& scheduler, std::mt19937_64& random);
  ~ForwardingClient() override;
  ForwardingClient(const ForwardingClient&) = delete;
  ForwardingClient& operator=(const ForwardingClient&) = delete;

  // HttpClient
  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override;
  void Cancel(HttpCallId call) override;
  void SetPaused(HttpCallId call, bool paused) override;

  const ForwardingStats& Stats() const { return this->stats; }

 private:
  class Call;

  void SendDirect(Call& call);
  bool SendThroughPeer(Call& call);
  bool MayAskFurther(const Call& call) const;
  void OnDirectEnd(Call& call, const HttpCallResult& end);
  void OnPeerAnswer(const Call& call);
  void OnPeerEnd(Call& call, const HttpCallResult& end);
  void TryNextPeer(Call& call);
  void End(Call& call, const HttpCallResult& end);

  ForwardingHost host;
  HttpClient& direct;
  PathMonitor& monitor;
  Scheduler& scheduler;
  ForwardPeerChooser chooser;
  ForwardingStats stats;
  HttpCallId last_id = 0;
  std::unordered_map<HttpCallId, std::unique_ptr<Call>> calls;
  /// Ended calls, whose functions may still be on the call stack.
  std::vector<std::unique_ptr<Call>> ended;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_FORWARDING_FORWARDING_CLIENT_H_
