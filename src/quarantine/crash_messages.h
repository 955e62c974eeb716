#ifndef MEADOWTHREAD_QUARANTINE_CRASH_MESSAGES_H_
#define MEADOWTHREAD_QUARANTINE_CRASH_MESSAGES_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "quarantine/crash_record.h"

namespace meadowthread {

/// @brief Encodes a record as a JSON object, for messages and the object store.
nlohmann::json CrashRecordJson(const CrashRecord& record);

/// @brief Decodes a record; an error names the invalid field.
absl::StatusOr<CrashRecord> CrashRecordFrom(const nlohmann::json& value);

/// @brief Kind under which crash records are kept in the object store. The name
/// of each object is the record's content key.
inline constexpr std::string_view kQuarantineKind = "quarantine";

/// @brief Encodes a record as an object's value in the store.
std::string EncodeCrashRecord(const CrashRecord& record);

/// @brief Decodes an object's value; an error names the invalid field.
/// @param[in] name of the object: the record's content key
absl::StatusOr<CrashRecord> DecodeCrashRecord(std::string_view name,
                                              std::string_view value);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_MESSAGES_H_
