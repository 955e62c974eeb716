#include "base/rendezvous.h"

#include <xxhash.h>

namespace meadowthread {

std::uint64_t RendezvousScore(std::string_view host, std::string_view key) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(host.data(), host.size(), seed);
}

}  // namespace meadowthread
