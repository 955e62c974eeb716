#ifndef MEADOWTHREAD_GATEWAY_WORK_ESTIMATE_H_
#define MEADOWTHREAD_GATEWAY_WORK_ESTIMATE_H_

#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief About how many tokens a prompt has; engines tokenize, hosts don't.
std::int64_t EstimateTokens(std::string_view prompt);

/// @brief The prefix under which engines report cached prompts
/// (docs/INTERFACES.md, cache events).
std::uint64_t PrefixHash(std::string_view prompt);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_WORK_ESTIMATE_H_
