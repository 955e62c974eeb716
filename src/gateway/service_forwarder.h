#ifndef MEADOWTHREAD_GATEWAY_SERVICE_FORWARDER_H_
#define MEADOWTHREAD_GATEWAY_SERVICE_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/lifetime.h"
#include "claims/claim_service.h"
#include "configuration/service_catalog.h"
#include "net/response_writer.h"
#include "relay/call_session.h"
#include "relay/relay_dependencies.h"

namespace meadowthread {

/// @brief A call to a plain service.
struct ServiceCall {
  std::string request;
  std::string workspace;
  std::string service;
  std::string method;
  std::string path;   ///< starts with a slash
  std::string query;  ///< without the question mark
  std::string content_type;
  std::string idempotency_key;
  std::string body;
};

/// @brief Dependencies of the forwarder; all must outlive it.
struct ForwarderDependencies {
  RelayDependencies relay;
  const ServiceCatalog& catalog;  ///< tells which calls need a claim
  ClaimService& claims;
  std::int64_t timeout_ms = 30'000;
};

/// @brief Forwards calls to plain services through the relay. Claims the
/// idempotency key first for calls that may not be repeated.
class ServiceForwarder {
 public:
  explicit ServiceForwarder(const ForwarderDependencies& deps);
  ~ServiceForwarder();
  ServiceForwarder(const ServiceForwarder&) = delete;
  ServiceForwarder& operator=(const ServiceForwarder&) = delete;

  /// @brief Forwards a call and writes the response to `writer`.
  /// @param[in] ended called once when the call has ended
  void Forward(const ServiceCall& call, std::unique_ptr<ResponseWriter> writer,
               std::function<void()> ended);

  /// @brief Number of calls in progress.
  int Running() const { return static_cast<int>(this->pending.size()); }

 private:
  struct PendingCall;

  void Claim(std::uint64_t number, const ServiceCall& call, KeyForm form);
  void OnClaimed(std::uint64_t number,
                 const absl::StatusOr<ClaimAnswer>& answer);
  void OnCallerGone(std::uint64_t number);
  void OnDone(std::uint64_t number, const absl::StatusOr<HttpResponse>& result);
  void Send(std::uint64_t number);
  void SendResult(std::uint64_t number, const ClaimResult& answer);
  void Fail(std::uint64_t number, const absl::Status& status);
  void EndCall(std::uint64_t number);
  PendingCall* Find(std::uint64_t number);

  ForwarderDependencies deps;
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, std::unique_ptr<PendingCall>> pending;
  /// Ended calls. They are destroyed from the event loop, since member
  /// functions of their sessions may still be on the stack.
  std::vector<std::unique_ptr<PendingCall>> finished;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SERVICE_FORWARDER_H_
