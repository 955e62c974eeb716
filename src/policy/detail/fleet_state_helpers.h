#ifndef MEADOWTHREAD_POLICY_DETAIL_FLEET_STATE_HELPERS_H_
#define MEADOWTHREAD_POLICY_DETAIL_FLEET_STATE_HELPERS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/served_model.h"

namespace meadowthread::detail {

/// @brief Index key under which a service's engines that have a model are
/// found.
/// @param[in] model an empty version: any
std::string ModelKey(std::string_view service, const ServedModel& model);

/// @brief Estimated number of tokens that a stream generates in `elapsed_ms`
/// milliseconds, assuming a typical decode speed.
std::int64_t EstimateDecodedTokens(std::int64_t elapsed_ms);

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_POLICY_DETAIL_FLEET_STATE_HELPERS_H_
