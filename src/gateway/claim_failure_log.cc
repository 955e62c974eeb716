#include "gateway/claim_failure_log.h"

#include <string>

#include "base/log_line.h"

namespace meadowthread {

std::function<void(const absl::Status&)> LogClaimFailure(
    std::string_view step, std::string_view request) {
  return [step = std::string(step),
          request = std::string(request)](const absl::Status& status) {
    if (!status.ok()) {
      LogLine("claim-failed")
          .Add("request", request)
          .Add("step", step)
          .Add("why", std::string{status.message()})
          .WriteImportant();
    }
  };
}

}  // namespace meadowthread
