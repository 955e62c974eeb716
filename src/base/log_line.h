#ifndef MEADOWTHREAD_BASE_LOG_LINE_H_
#define MEADOWTHREAD_BASE_LOG_LINE_H_

#include <concepts>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief One structured log line: `event=NAME key=value ...`.
///
/// Values with white space, quotes, backslashes, control characters or `=` are
/// quoted, so that the `explain` command can parse every line.
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  /// @brief Appends one key=value pair.
  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, double value);

  /// @brief Appends one key=value pair with an integer value.
  template <std::integral Integer>
  LogLine& Add(std::string_view key, Integer value) {
    const std::string text_value = std::to_string(value);
    return this->Add(key, std::string_view{text_value});
  }

  /// @brief The text of the line.
  const std::string& Text() const { return this->text; }

  /// @brief Logs a routine decision, at level INFO.
  void Write() const;

  /// @brief Logs a failure or a change of state, at level WARNING. A
  /// rate-limited log drops routine lines first.
  void WriteImportant() const;

 private:
  std::string text;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_LOG_LINE_H_
