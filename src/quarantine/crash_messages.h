#ifndef MEADOWTHREAD_QUARANTINE_CRASH_MESSAGES_H_
#define MEADOWTHREAD_QUARANTINE_CRASH_MESSAGES_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "quarantine/crash_record.h"

namespace meadowthread {

/// @brief A record as hosts tell it and as it lies in the store: an object.
nlohmann::json CrashRecordJson(const CrashRecord& record);

/// @brief Reads a record; an error names the field at fault.
absl::StatusOr<CrashRecord> CrashRecordFrom(const nlohmann::json& value);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_MESSAGES_H_
