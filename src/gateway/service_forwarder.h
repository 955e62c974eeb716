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

/// @brief One call of a plain service.
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

/// @brief What the forwarder works with; all of it outlives the forwarder.
struct ForwarderParts {
  RelayDependencies relay;
  const ServiceCatalog& catalog;  ///< says which calls may not be repeated
  ClaimService& claims;
  std::int64_t timeout_ms = 30'000;
};

/// @brief Puts a claim around calls that may not be repeated, and sends all of
/// them by the relay's sessions.
class ServiceForwarder {
 public:
  explicit ServiceForwarder(const ForwarderParts& parts);
  ~ServiceForwarder();
  ServiceForwarder(const ServiceForwarder&) = delete;
  ServiceForwarder& operator=(const ServiceForwarder&) = delete;

  /// @brief Forwards a call and answers it through `writer`.
  /// @param[in] ended called once the call is over
  void Forward(const ServiceCall& call, std::unique_ptr<ResponseWriter> writer,
               std::function<void()> ended);

  /// @brief Calls in progress.
  int Running() const { return static_cast<int>(this->pending.size()); }

 private:
  struct Pending;

  void Claim(std::uint64_t number, const ServiceCall& call, KeyForm form);
  void OnClaimed(std::uint64_t number,
                 const absl::StatusOr<ClaimAnswer>& answer);
  void OnCallerGone(std::uint64_t number);
  void OnDone(std::uint64_t number, const absl::StatusOr<HttpResponse>& result);
  void Send(std::uint64_t number);
  void PassOn(std::uint64_t number, const ClaimResult& answer);
  void Fail(std::uint64_t number, const absl::Status& status);
  void Drop(std::uint64_t number);
  Pending* Find(std::uint64_t number);

  ForwarderParts parts;
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, std::unique_ptr<Pending>> pending;
  /// Over ones: their sessions' calls may still be on the stack.
  std::vector<std::unique_ptr<Pending>> over;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SERVICE_FORWARDER_H_
