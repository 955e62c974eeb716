#ifndef MEADOWTHREAD_CLI_UTC_TIME_H_
#define MEADOWTHREAD_CLI_UTC_TIME_H_

#include <cstdint>
#include <string>

namespace meadowthread {

/// @brief Formats a time in UTC, such as "2026-12-02 14:30:25Z"; "-" for 0.
std::string UtcTime(std::int64_t unix_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_UTC_TIME_H_
