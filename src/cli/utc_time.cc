#include "cli/utc_time.h"

#include "absl/time/time.h"

namespace meadowthread {

std::string UtcTime(std::int64_t unix_ms) {
  if (unix_ms == 0) {
    return "-";
  }
  return absl::FormatTime("%Y-%m-%d %H:%M:%SZ", absl::FromUnixMillis(unix_ms),
                          absl::UTCTimeZone());
}

}  // namespace meadowthread
