#ifndef MEADOWTHREAD_BASE_IP_AND_PORT_H_
#define MEADOWTHREAD_BASE_IP_AND_PORT_H_

#include <cstdint>
#include <string_view>

namespace meadowthread {

inline constexpr std::int64_t kMaxPortNumber = 65'535;

/// @brief Whether a text is an IPv4 or IPv6 address without brackets.
bool IsIpAddress(std::string_view text);

/// @brief Whether a text is IP:PORT with a port above 0; [IP]:PORT for IPv6.
bool IsIpAndPort(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_IP_AND_PORT_H_
