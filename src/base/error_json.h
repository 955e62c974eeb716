#ifndef MEADOWTHREAD_BASE_ERROR_JSON_H_
#define MEADOWTHREAD_BASE_ERROR_JSON_H_

#include "base/error.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief An error's detail as every message between our processes carries it.
nlohmann::json ErrorDetailJson(const ErrorDetail& detail);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_ERROR_JSON_H_
