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

/// @brief How much a process logs at most.
struct LogBounds {
  /// Lines of routine decisions a second: a host under its usual load writes a
  /// tenth of it.
  double routine_per_second = 400.0;
  /// Lines of failures and of changed beliefs a second, kept before routine.
  double important_per_second = 200.0;
  /// Held for a reader that does not read; beyond it lines are dropped.
  std::size_t held_bytes = std::size_t{256} * 1024;
};

/// @brief Writes glog's lines to a descriptor without ever waiting for it.
///
/// What a bound or a reader that does not read makes it drop is counted and
/// told in a line of its own: `event=log-dropped`.
class LogWriter final : public google::LogSink {
 public:
  /// @param[in] descriptor a pipe, a file or a terminal; stays the caller's
  /// @param[in] clock outlives the writer
  LogWriter(int descriptor, const LogBounds& bounds, const Clock& clock);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void send(google::LogSeverity severity, const char* full_filename,
            const char* base_filename, int line,
            const google::LogMessageTime& time, const char* message,
            std::size_t message_len) override;

  /// @brief Takes a line without its end.
  void Take(std::string_view line, bool is_important);

  /// @brief Writes what the reader takes now.
  void Flush();

  /// @brief Lines dropped since the start.
  std::int64_t Dropped() const;

 private:
  /// @brief A count of lines that refills with time.
  struct Allowance {
    double per_second = 0.0;
    double level = 0.0;
    std::int64_t filled_ms = -1;
    bool Spend(std::int64_t now_ms);
  };

  void Hold(std::string_view line);
  void TellDropped(std::int64_t now_ms);
  void WriteSome();

  int descriptor;
  LogBounds bounds;
  const Clock& clock;
  mutable std::mutex mutex;  ///< calls may come from worker threads
  Allowance routine;
  Allowance important;
  std::string held;
  std::int64_t dropped = 0;
  std::int64_t dropped_told = 0;
  std::int64_t told_ms = 0;
};

/// @brief Sends every line of this process to the standard output by a
/// LogWriter that lasts as long as the process. Nothing goes to files. To be
/// called once.
void LogToStandardOutput();

/// @brief Writes what that log holds and its reader takes now; to be called a
/// few times a second.
void FlushLog();

/// @brief Lines that the log has dropped since the start.
std::int64_t LogLinesDropped();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_LOG_WRITER_H_
