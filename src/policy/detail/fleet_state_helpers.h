#ifndef MEADOWTHREAD_POLICY_DETAIL_FLEET_STATE_HELPERS_H_
#define MEADOWTHREAD_POLICY_DETAIL_FLEET_STATE_HELPERS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace meadowthread::detail {

/// @brief Index key under which the engines that serve a model are found.
/// @param[in] version empty: any
std::string ModelKey(std::string_view model, std::string_view adapter,
                     std::string_view version);

/// @brief Estimated number of tokens that a stream generates in `elapsed_ms`
/// milliseconds, assuming a typical decode speed.
std::int64_t EstimateDecodedTokens(std::int64_t elapsed_ms);

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_POLICY_DETAIL_FLEET_STATE_HELPERS_H_
