#include "claims/claim_forwarder.h"

#include "xxhash.h"

namespace meadowthread {

std::string_view RendezvousHost(std::uint32_t shard,
                                std::span<const std::string> hosts) {
  std::string_view best;
  XXH64_hash_t best_weight = 0;
  for (const std::string& host : hosts) {
    const XXH64_hash_t weight = XXH64(host.data(), host.size(), shard);
    if (best.empty() || weight > best_weight) {
      best = host;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace meadowthread
