#ifndef MEADOWTHREAD_BASE_LOG_LINE_H_
#define MEADOWTHREAD_BASE_LOG_LINE_H_

#include <concepts>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief One structured log line: `event=NAME key=value ...`.
///
/// Values with white space, quotes or `=` are quoted, so that `explain` reads
/// every line back.
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  /// @brief Appends one pair.
  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, double value);

  /// @brief Appends one pair whose value is any whole number.
  template <std::integral Integer>
  LogLine& Add(std::string_view key, Integer value) {
    const std::string text_value = std::to_string(value);
    return this->Add(key, std::string_view{text_value});
  }

  /// @brief The line as it would be written.
  const std::string& Text() const { return this->text; }

  /// @brief Writes the line to the log: a routine decision.
  void Write() const;

  /// @brief Writes the line to the log: a failure, or a changed belief. It is
  /// kept before routine where the log is bounded.
  void WriteImportant() const;

 private:
  std::string text;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_LOG_LINE_H_
