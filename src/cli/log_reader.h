#ifndef MEADOWTHREAD_CLI_LOG_READER_H_
#define MEADOWTHREAD_CLI_LOG_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief One pair of a log line.
struct LogField {
  std::string key;
  std::string value;

  friend bool operator==(const LogField&, const LogField&) = default;
};

/// @brief One structured log line, read back.
struct LogRecord {
  std::string source;  ///< the file it stood in
  std::string time;    ///< "MMDD HH:MM:SS.ffffff"; empty without a prefix
  std::string event;
  std::vector<LogField> fields;  ///< in order, without the event

  /// @brief A field's value, empty where it is missing.
  std::string_view Field(std::string_view key) const;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// @brief Reads what LogLine wrote, with or without glog's prefix.
/// @return nothing where the line is of another kind
std::optional<LogRecord> ReadLogLine(std::string_view line);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_LOG_READER_H_
