#ifndef MEADOWTHREAD_SERVE_CLAIM_FORWARDING_H_
#define MEADOWTHREAD_SERVE_CLAIM_FORWARDING_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "claims/claim_forwarder.h"
#include "claims/store_claim_service.h"
#include "exchange/rpc_channel.h"
#include "exchange/rpc_server.h"
#include "hosts/host_directory.h"

namespace meadowthread {

/// @brief Name of the RPC method that receives forwarded claim operations.
inline constexpr char kClaimMethod[] = "claim";

/// @brief Dependencies of the forwarder; all of them outlive it.
struct ClaimForwardingDependencies {
  const Clock& clock;
  const HostDirectory& hosts;
  RpcChannel& channel;
};

/// @brief Forwards claim operations to the control ports of other entry hosts.
class RpcClaimForwarder final : public ClaimForwarder {
 public:
  /// @param[in] self this host's name
  /// @param[in] limit_ms maximum duration of a call; later answers are of no
  /// use
  RpcClaimForwarder(std::string_view self, std::int64_t limit_ms,
                    const ClaimForwardingDependencies& dependencies);

  /// @brief Sets the live hosts among which the shards of the claims are
  /// distributed. Called at each change of these hosts, so that forwarding a
  /// claim need not check every host's mark.
  void SetHosts(std::span<const std::string> names);

  std::string PreferredHost(std::uint32_t shard) const override;
  void Forward(std::string_view host, const ForwardedOp& op,
               const ForwardDone& done) override;

 private:
  std::string self;
  std::int64_t limit_ms;
  ClaimForwardingDependencies dependencies;
  std::vector<std::string> hosts;
};

/// @brief Registers the method that executes claim operations which other hosts
/// forward to the control port.
/// @param[in] server not listening yet
/// @param[in] claims outlives the server
void RegisterClaimMethod(RpcServer* server, StoreClaimService* claims);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_CLAIM_FORWARDING_H_
