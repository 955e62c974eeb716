#ifndef MEADOWTHREAD_BASE_RENDEZVOUS_H_
#define MEADOWTHREAD_BASE_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief The score by which a host is chosen for a key: the host with the
/// highest one. A host that joins or leaves changes the choice only for the
/// keys that it gains or had.
std::uint64_t RendezvousScore(std::string_view host, std::string_view key);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_RENDEZVOUS_H_
