#include "base/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <cstdlib>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr std::int64_t kDropReportIntervalMs = 1'000;
// Lines are buffered up to this size before a write is attempted, to use one
// system call for many lines. The process flushes the rest a few times per
// second.
constexpr std::size_t kWriteThresholdBytes = 3'072;
// A pipe that is ready for writing accepts at least this much without blocking.
constexpr std::size_t kPipeBytes = PIPE_BUF;

}  // namespace

bool LogWriter::LineRateLimiter::TryTake(std::int64_t now_ms) {
  if (this->last_refill_ms < 0) {
    this->tokens = this->per_second;
  } else {
    const auto since = static_cast<double>(now_ms - this->last_refill_ms);
    this->tokens =
        std::min(this->per_second,
                 this->tokens + since * this->per_second / kMsPerSecond);
  }
  this->last_refill_ms = now_ms;
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

LogWriter::LogWriter(int descriptor, const LogLimits& limits,
                     const Clock& clock)
    : descriptor(descriptor), limits(limits), clock(clock) {
  this->routine.per_second = limits.routine_per_second;
  this->important.per_second = limits.important_per_second;
}

void LogWriter::send(google::LogSeverity severity,
                     const char* /*full_filename*/, const char* base_filename,
                     int line, const google::LogMessageTime& time,
                     const char* message, std::size_t message_len) {
  this->Add(google::LogSink::ToString(severity, base_filename, line, time,
                                      message, message_len),
            severity > google::GLOG_INFO);
}

void LogWriter::Add(std::string_view line, bool is_important) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::int64_t now_ms = this->clock.MonotonicMs();
  LineRateLimiter& limiter = is_important ? this->important : this->routine;
  // Routine lines may fill only half of the buffer, to leave room for important
  // ones.
  const std::size_t room = is_important ? this->limits.max_buffered_bytes
                                        : this->limits.max_buffered_bytes / 2;
  if (!limiter.TryTake(now_ms) || this->buffer.size() + line.size() > room) {
    ++this->dropped;
  } else {
    this->Append(line);
  }
  this->ReportDropped(now_ms);
  if (this->buffer.size() >= kWriteThresholdBytes) {
    this->WriteAvailable();
  }
}

void LogWriter::Append(std::string_view line) {
  this->buffer.append(line);
  if (!line.ends_with('\n')) {
    this->buffer.push_back('\n');
  }
}

void LogWriter::ReportDropped(std::int64_t now_ms) {
  const bool due = this->dropped > this->dropped_reported &&
                   now_ms - this->last_report_ms >= kDropReportIntervalMs;
  if (!due || this->buffer.size() > this->limits.max_buffered_bytes) {
    return;
  }
  this->Append(absl::StrCat(
      "event=log-dropped lines=", this->dropped - this->dropped_reported,
      " since_start=", this->dropped));
  this->dropped_reported = this->dropped;
  this->last_report_ms = now_ms;
}

void LogWriter::Flush() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->ReportDropped(this->clock.MonotonicMs());
  this->WriteAvailable();
}

// Writes in pieces of at most PIPE_BUF bytes, which a pipe that is ready
// accepts whole, so that no write blocks on the reader.
void LogWriter::WriteAvailable() {
  std::size_t begin = 0;
  while (begin < this->buffer.size()) {
    pollfd ready = {this->descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kPipeBytes, this->buffer.size() - begin);
    const ssize_t count =
        write(this->descriptor, this->buffer.data() + begin, size);
    if (count <= 0) {
      // The reader is gone: drop the lines, as there is nowhere to report the
      // error.
      if (count < 0 && errno != EINTR && errno != EAGAIN) {
        begin = this->buffer.size();
      }
      break;
    }
    begin += static_cast<std::size_t>(count);
  }
  this->buffer.erase(0, begin);
}

std::int64_t LogWriter::Dropped() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->dropped;
}

namespace {

// Never destroyed, as other threads may log until the process exits.
LogWriter* standard_output_log = nullptr;

}  // namespace

void LogToStandardOutput() {
  static const SystemClock kClock;
  standard_output_log = new LogWriter(STDOUT_FILENO, LogLimits{}, kClock);
  FLAGS_logtostderr = false;
  FLAGS_alsologtostderr = false;
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(standard_output_log);
  std::atexit(FlushLog);
}

std::int64_t LogLinesDropped() {
  return standard_output_log == nullptr ? 0 : standard_output_log->Dropped();
}

void FlushLog() {
  if (standard_output_log != nullptr) {
    standard_output_log->Flush();
  }
}

}  // namespace meadowthread
