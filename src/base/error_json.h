#ifndef MEADOWTHREAD_BASE_ERROR_JSON_H_
#define MEADOWTHREAD_BASE_ERROR_JSON_H_

#include "base/error.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief An error detail in the JSON form used in all messages between
/// processes of this system.
nlohmann::json ErrorDetailJson(const ErrorDetail& detail);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_ERROR_JSON_H_
