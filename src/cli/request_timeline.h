#ifndef MEADOWTHREAD_CLI_REQUEST_TIMELINE_H_
#define MEADOWTHREAD_CLI_REQUEST_TIMELINE_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/log_reader.h"

namespace meadowthread {

/// @brief One log record about a request, with its description.
struct TimelineStep {
  LogRecord record;
  std::string sentence;
};

/// @brief All log records about one request, in time order.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string_view request) : request(request) {}

  /// @brief Reads a log and keeps the lines about the request or one of its
  /// attempts.
  /// @param[in] source the name of the log
  void Read(std::istream& log, std::string_view source);

  /// @brief The steps sorted by time; in the order read if any line has no
  /// time.
  std::vector<TimelineStep> Steps() const;

  const std::string& Request() const { return this->request; }

 private:
  bool IsAbout(const LogRecord& record) const;

  std::string request;
  std::vector<LogRecord> records;
};

/// @brief Describes a log record in a readable sentence.
std::string DescribeRecord(const LogRecord& record);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_REQUEST_TIMELINE_H_
