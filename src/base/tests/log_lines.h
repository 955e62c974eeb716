#ifndef MEADOWTHREAD_BASE_TESTS_LOG_LINES_H_
#define MEADOWTHREAD_BASE_TESTS_LOG_LINES_H_

#include <glog/logging.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread::testing {

/// @brief Captures the lines logged through glog during its lifetime.
class LogLines final : public google::LogSink {
 public:
  LogLines() { google::AddLogSink(this); }
  ~LogLines() override { google::RemoveLogSink(this); }
  LogLines(const LogLines&) = delete;
  LogLines& operator=(const LogLines&) = delete;

  void send(google::LogSeverity /*severity*/, const char* /*full_filename*/,
            const char* /*base_filename*/, int /*line*/,
            const google::LogMessageTime& /*time*/, const char* message,
            std::size_t message_len) override {
    this->lines.emplace_back(message, message_len);
  }

  /// @brief Number of lines with the given event.
  int Count(std::string_view event) const {
    const std::string head = "event=" + std::string(event);
    return static_cast<int>(std::count_if(
        this->lines.begin(), this->lines.end(), [&](const std::string& line) {
          return line == head || line.starts_with(head + " ");
        }));
  }

  /// @brief Whether any line contains the text.
  bool Has(std::string_view text) const {
    return std::any_of(this->lines.begin(), this->lines.end(),
                       [&](const std::string& line) {
                         return line.find(text) != std::string::npos;
                       });
  }

  /// @brief Length in bytes of the longest line.
  std::size_t Longest() const {
    std::size_t longest = 0;
    for (const std::string& line : this->lines) {
      longest = std::max(longest, line.size());
    }
    return longest;
  }

 private:
  std::vector<std::string> lines;
};

}  // namespace meadowthread::testing

#endif  // MEADOWTHREAD_BASE_TESTS_LOG_LINES_H_
