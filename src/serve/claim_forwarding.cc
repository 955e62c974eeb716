#include "serve/claim_forwarding.h"

#include <algorithm>
#include <vector>

#include "claims/forward_messages.h"

namespace meadowthread {
RpcClaimForwarder::RpcClaimForwarder(std::string_view self_name,
                                     std::int64_t call_limit_ms,
                                     const ClaimForwardingDependencies& with)
    : self(self_name), limit_ms(call_limit_ms), dependencies(with) {}

void RpcClaimForwarder::SetHosts(std::span<const std::string> names) {
  this->hosts.clear();
  for (const std::string& name : names) {
    const HostEntry* entry = this->dependencies.hosts.Find(name);
    if (entry != nullptr && entry->control_port > 0) {
      this->hosts.push_back(name);
    }
  }
}

std::string RpcClaimForwarder::PreferredHost(std::uint32_t shard) const {
  const std::string_view host = RendezvousHost(shard, this->hosts);
  return host == this->self ? "" : std::string(host);
}

// A call that lasts longer than the limit would only occupy a worker thread:
// after the limit, this host's claim service writes the operation to the claim
// log itself. It also does so if the host is no longer in the host list; `done`
// is not called then.
void RpcClaimForwarder::Forward(std::string_view host, const ForwardedOp& op,
                                const ForwardDone& done) {
  const HostEntry* entry = this->dependencies.hosts.Find(host);
  if (entry == nullptr) {
    return;
  }
  const RpcPeer peer = {entry->name, entry->address,
                        static_cast<std::uint16_t>(entry->control_port)};
  const std::int64_t left_ms = op.limit_ms - this->dependencies.clock.WallMs();
  this->dependencies.channel.Call(
      peer, kClaimMethod, EncodeForwardedOp(op),
      std::min(left_ms, this->limit_ms),
      [op, done](const absl::StatusOr<std::string>& text) {
        if (!text.ok()) {
          done(text.status());
          return;
        }
        done(DecodeForwardedAnswer(op, *text));
      });
}

void RegisterClaimMethod(RpcServer* server, StoreClaimService* claims) {
  server->RegisterDeferred(kClaimMethod, [claims](std::string_view params,
                                                  const RpcReply& reply) {
    const absl::StatusOr<ForwardedOp> op = DecodeForwardedOp(params);
    if (!op.ok()) {
      reply(op.status());
      return;
    }
    claims->ReceiveForwardedOp(
        *op, [op = *op, reply](const absl::StatusOr<ForwardedAnswer>& answer) {
          if (!answer.ok()) {
            reply(answer.status());
            return;
          }
          reply(EncodeForwardedAnswer(op, *answer));
        });
  });
}

}  // namespace meadowthread
