#ifndef MEADOWTHREAD_CLI_REQUEST_STORY_H_
#define MEADOWTHREAD_CLI_REQUEST_STORY_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/log_reader.h"

namespace meadowthread {

/// @brief One step of a request.
struct StoryStep {
  LogRecord record;
  std::string sentence;
};

/// @brief Everything that the logs say of one request, in order.
class RequestStory {
 public:
  explicit RequestStory(std::string_view request) : request(request) {}

  /// @brief Reads a log, and keeps the lines that are about the request or an
  /// attempt of it.
  /// @param[in] source the log's name
  void Read(std::istream& log, std::string_view source);

  /// @brief The steps by time; lines without one keep their order.
  std::vector<StoryStep> Steps() const;

  const std::string& Request() const { return this->request; }

 private:
  bool IsAbout(const LogRecord& record) const;

  std::string request;
  std::vector<LogRecord> records;
};

/// @brief A log line as a sentence for a person.
std::string SentenceOf(const LogRecord& record);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_REQUEST_STORY_H_
