#ifndef MEADOWTHREAD_POLICY_DETAIL_FLEET_KEYS_H_
#define MEADOWTHREAD_POLICY_DETAIL_FLEET_KEYS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace meadowthread::detail {

/// @brief What engines that serve a model are found by.
/// @param[in] version empty: any
std::string ModelKey(std::string_view model, std::string_view adapter,
                     std::string_view version);

/// @brief Tokens that a stream makes in `span_ms` milliseconds, where only the
/// time is known.
std::int64_t TokensIn(std::int64_t span_ms);

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_POLICY_DETAIL_FLEET_KEYS_H_
