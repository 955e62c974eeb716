#ifndef MEADOWTHREAD_GATEWAY_CALLER_IDENTITY_H_
#define MEADOWTHREAD_GATEWAY_CALLER_IDENTITY_H_

#include <string>

#include "absl/status/statusor.h"
#include "configuration/service_catalog.h"
#include "net/http_server.h"

namespace meadowthread {

/// @brief Who sent a request.
struct CallerIdentity {
  std::string workspace;
  std::string caller;  ///< a digest of the key, for resume tokens
};

/// @brief Tells the workspace by `Authorization: Bearer KEY`.
/// @return the identity, or kUnknownKey
absl::StatusOr<CallerIdentity> Identify(const ServerRequest& request,
                                        const ServiceCatalog& catalog);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_CALLER_IDENTITY_H_
