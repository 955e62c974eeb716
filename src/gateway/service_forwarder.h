#ifndef MEADOWTHREAD_GATEWAY_SERVICE_FORWARDER_H_
#define MEADOWTHREAD_GATEWAY_SERVICE_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "claims/claim_service.h"
#include "configuration/service_catalog.h"
#include "hosts/host_directory.h"
#include "net/http_client.h"
#include "net/response_writer.h"
#include "policy/retry_budget.h"

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
  HttpClient& client;
  const HostDirectory& hosts;
  const ServiceCatalog& catalog;  ///< says which calls may not be repeated
  ClaimService& claims;
  RetryBudget& retries;
  const Clock& clock;
  std::mt19937_64& random;
  std::int64_t timeout_ms = 30'000;
};

/// @brief Routes calls to plain backend servers.
class ServiceForwarder {
 public:
  explicit ServiceForwarder(const ForwarderParts& parts) : parts(parts) {}

  /// @brief Forwards a call and answers it through `writer`.
  /// @param[in] ended called once the call is over
  void Forward(const ServiceCall& call, std::unique_ptr<ResponseWriter> writer,
               std::function<void()> ended);

  /// @brief Calls in progress.
  int Running() const { return this->running; }

 private:
  struct Pending;

  void Claim(const std::shared_ptr<Pending>& pending);
  void OnClaimed(const std::shared_ptr<Pending>& pending,
                 const absl::StatusOr<ClaimAnswer>& answer);
  void Send(const std::shared_ptr<Pending>& pending);
  void OnAnswer(const std::shared_ptr<Pending>& pending,
                const std::string& backend, const HttpFetched& fetched);
  void PassOn(Pending& pending, const HttpResponse& response);
  void TryAgainOrFail(const std::shared_ptr<Pending>& pending,
                      const absl::Status& cause, Outcome outcome);
  void Fail(Pending& pending, const absl::Status& status);
  const HostEntry* Choose(const Pending& pending);
  HttpRequest MakeRequest(const Pending& pending,
                          const HostEntry& backend) const;

  ForwarderParts parts;
  std::map<std::string, int, std::less<>> in_flight;  ///< by backend server
  int running = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SERVICE_FORWARDER_H_
