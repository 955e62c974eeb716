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

/// @brief The records' objects in the store, each named by its content.
inline constexpr std::string_view kQuarantineKind = "quarantine";

/// @brief A record as it lies in the store.
std::string EncodeCrashRecord(const CrashRecord& record);

/// @brief Reads an object's value; an error names the field at fault.
/// @param[in] name of the object: the record's content
absl::StatusOr<CrashRecord> DecodeCrashRecord(std::string_view name,
                                              std::string_view value);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_MESSAGES_H_
