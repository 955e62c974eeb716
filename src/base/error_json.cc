#include "base/error_json.h"

namespace meadowthread {

nlohmann::json ErrorDetailJson(const ErrorDetail& detail) {
  return {{"id", static_cast<int>(detail.id)},
          {"outcome", static_cast<int>(detail.outcome)},
          {"step", detail.step},
          {"peer", detail.peer},
          {"field", detail.field},
          {"retry_after_ms", detail.retry_after_ms}};
}

}  // namespace meadowthread
