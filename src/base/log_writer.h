#ifndef MEADOWTHREAD_BASE_LOG_WRITER_H_
#define MEADOWTHREAD_BASE_LOG_WRITER_H_

#include <glog/logging.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace meadowthread {

/// @brief Limits on the log output of a process.
struct LogLimits {
  /// Routine lines per second; a host under normal load writes a tenth of this.
  double routine_per_second = 400.0;
  /// Lines per second about failures and changes of state; separate from the
  /// routine limit, so that routine lines do not displace them.
  double important_per_second = 200.0;
  /// Buffer size for a reader that falls behind; further lines are dropped.
  std::size_t max_buffered_bytes = std::size_t{256} * 1024;
};

/// @brief A glog sink that writes to a file descriptor without ever blocking on
/// it.
///
/// Lines dropped because of a limit or a slow reader are counted and reported
/// in a line `event=log-dropped`.
class LogWriter final : public google::LogSink {
 public:
  /// @param[in] descriptor a pipe, a file or a terminal; owned by the caller
  /// @param[in] clock outlives the writer
  LogWriter(int descriptor, const LogLimits& limits, const Clock& clock);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void send(google::LogSeverity severity, const char* full_filename,
            const char* base_filename, int line,
            const google::LogMessageTime& time, const char* message,
            std::size_t message_len) override;

  /// @brief Buffers a line, given without its line break, or drops it if a
  /// limit is exceeded.
  void Add(std::string_view line, bool is_important);

  /// @brief Writes as much of the buffer as the descriptor accepts without
  /// blocking.
  void Flush();

  /// @brief Number of lines dropped since the start.
  std::int64_t Dropped() const;

 private:
  /// @brief A token bucket that limits lines per second.
  struct LineRateLimiter {
    double per_second = 0.0;
    double tokens = 0.0;
    std::int64_t last_refill_ms = -1;
    bool TryTake(std::int64_t now_ms);
  };

  void Append(std::string_view line);
  void ReportDropped(std::int64_t now_ms);
  void WriteAvailable();

  int descriptor;
  LogLimits limits;
  const Clock& clock;
  mutable std::mutex mutex;  ///< calls may come from worker threads
  LineRateLimiter routine;
  LineRateLimiter important;
  std::string buffer;
  std::int64_t dropped = 0;
  std::int64_t dropped_reported = 0;
  std::int64_t last_report_ms = 0;
};

/// @brief Sends all glog output of this process to standard output, and none to
/// files, through a LogWriter that lives as long as the process. To be called
/// once.
void LogToStandardOutput();

/// @brief Flushes the log of LogToStandardOutput without blocking; to be called
/// a few times per second.
void FlushLog();

/// @brief Number of lines that the log of LogToStandardOutput has dropped since
/// the start.
std::int64_t LogLinesDropped();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_LOG_WRITER_H_
