#ifndef MEADOWTHREAD_STANDINS_HTTP_FAULT_CONTROL_H_
#define MEADOWTHREAD_STANDINS_HTTP_FAULT_CONTROL_H_

#include <functional>

#include "http/http_exchange.h"
#include "http/http_message.h"
#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief Handles `/standin/faults`; answers 400 to any other control call.
/// @param[in] apply applies the change; may throw nlohmann::json::exception
void ApplyFaultControl(
    const Request& request, const ExchangePtr& exchange,
    const std::function<void(const nlohmann::json& change)>& apply);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_FAULT_CONTROL_H_
