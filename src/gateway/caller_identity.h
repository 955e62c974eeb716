#ifndef MEADOWTHREAD_GATEWAY_CALLER_IDENTITY_H_
#define MEADOWTHREAD_GATEWAY_CALLER_IDENTITY_H_

#include <string>

#include "absl/status/statusor.h"
#include "configuration/service_catalog.h"
#include "net/http_server.h"

namespace meadowthread {

/// @brief The authenticated sender of a request.
struct CallerIdentity {
  std::string workspace;
  std::string caller;  ///< prefix of the API key's SHA-256 digest, in hex
};

/// @brief Finds the workspace by the API key in `Authorization: Bearer KEY`.
/// @return the identity, or the error kUnknownKey
absl::StatusOr<CallerIdentity> AuthenticateCaller(
    const ServerRequest& request, const ServiceCatalog& catalog);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_CALLER_IDENTITY_H_
