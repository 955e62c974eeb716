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

inline constexpr char kClaimMethod[] = "claim";

/// @brief What the forwarder works with; all of it outlives the forwarder.
struct ClaimForwardingParts {
  const Clock& clock;
  const HostDirectory& hosts;
  RpcChannel& channel;
};

/// @brief Sends claims to other entry hosts' control ports.
class RpcClaimForwarder final : public ClaimForwarder {
 public:
  /// @param[in] self this host's name
  /// @param[in] limit_ms longest call: later answers are of no use
  RpcClaimForwarder(std::string_view self, std::int64_t limit_ms,
                    const ClaimForwardingParts& parts);

  /// @brief Takes the hosts among which shards are shared out. Told at each
  /// change, so that a claim costs no look at every host's mark.
  void SetHosts(std::span<const std::string> names);

  std::string PreferredHost(std::uint32_t shard) const override;
  void Forward(std::string_view host, const ForwardedOp& op,
               const ForwardDone& done) override;

 private:
  std::string self;
  std::int64_t limit_ms;
  ClaimForwardingParts parts;
  std::vector<std::string> hosts;
};

/// @brief Answers other hosts' forwarders on the control port.
/// @param[in] server not listening yet
/// @param[in] claims there as long as the server answers
void RegisterClaimMethod(RpcServer* server, StoreClaimService* claims);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_CLAIM_FORWARDING_H_
