#ifndef MEADOWTHREAD_CLI_LOG_READER_H_
#define MEADOWTHREAD_CLI_LOG_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief One key=value pair of a log line.
struct LogField {
  std::string key;
  std::string value;

  friend bool operator==(const LogField&, const LogField&) = default;
};

/// @brief One parsed structured log line.
struct LogRecord {
  std::string source;  ///< the file that contains the line
  std::string time;    ///< "MMDD HH:MM:SS.ffffff"; empty without a prefix
  std::string event;
  std::vector<LogField>
      fields;  ///< in the order of the line, without the event

  /// @brief The value of a field; empty if it is missing.
  std::string_view Field(std::string_view key) const;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// @brief Parses a line written by LogLine, with or without glog's prefix.
/// @return empty if the line is not a structured log line
std::optional<LogRecord> ReadLogLine(std::string_view line);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_LOG_READER_H_
