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
constexpr std::int64_t kTellEveryMs = 1'000;
// Lines are buffered up to this size before a write is attempted, to use one
// system call for many lines. The process flushes the rest a few times per
// second.
constexpr std::size_t kWriteFromBytes = 3'072;
// A pipe that is ready for writing accepts at least this much without blocking.
constexpr std::size_t kPipeBytes = PIPE_BUF;

}  // namespace

bool LogWriter::Allowance::Spend(std::int64_t now_ms) {
  if (this->filled_ms < 0) {
    this->level = this->per_second;
  } else {
    const auto since = static_cast<double>(now_ms - this->filled_ms);
    this->level =
        std::min(this->per_second,
                 this->level + since * this->per_second / kMsPerSecond);
  }
  this->filled_ms = now_ms;
  if (this->level < 1.0) {
    return false;
  }
  this->level -= 1.0;
  return true;
}

LogWriter::LogWriter(int descriptor, const LogBounds& bounds,
                     const Clock& clock)
    : descriptor(descriptor), bounds(bounds), clock(clock) {
  this->routine.per_second = bounds.routine_per_second;
  this->important.per_second = bounds.important_per_second;
}

void LogWriter::send(google::LogSeverity severity,
                     const char* /*full_filename*/, const char* base_filename,
                     int line, const google::LogMessageTime& time,
                     const char* message, std::size_t message_len) {
  this->Take(google::LogSink::ToString(severity, base_filename, line, time,
                                       message, message_len),
             severity > google::GLOG_INFO);
}

void LogWriter::Take(std::string_view line, bool is_important) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::int64_t now_ms = this->clock.MonotonicMs();
  Allowance& allowance = is_important ? this->important : this->routine;
  // Routine lines may fill only half of the buffer, to leave room for important
  // ones.
  const std::size_t room =
      is_important ? this->bounds.held_bytes : this->bounds.held_bytes / 2;
  if (!allowance.Spend(now_ms) || this->held.size() + line.size() > room) {
    ++this->dropped;
  } else {
    this->Hold(line);
  }
  this->TellDropped(now_ms);
  if (this->held.size() >= kWriteFromBytes) {
    this->WriteSome();
  }
}

void LogWriter::Hold(std::string_view line) {
  this->held.append(line);
  if (!line.ends_with('\n')) {
    this->held.push_back('\n');
  }
}

void LogWriter::TellDropped(std::int64_t now_ms) {
  const bool due = this->dropped > this->dropped_told &&
                   now_ms - this->told_ms >= kTellEveryMs;
  if (!due || this->held.size() > this->bounds.held_bytes) {
    return;
  }
  this->Hold(absl::StrCat(
      "event=log-dropped lines=", this->dropped - this->dropped_told,
      " since_start=", this->dropped));
  this->dropped_told = this->dropped;
  this->told_ms = now_ms;
}

void LogWriter::Flush() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->TellDropped(this->clock.MonotonicMs());
  this->WriteSome();
}

// Writes in pieces of at most PIPE_BUF bytes, which a pipe that is ready
// accepts whole, so that no write blocks on the reader.
void LogWriter::WriteSome() {
  std::size_t begin = 0;
  while (begin < this->held.size()) {
    pollfd ready = {this->descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kPipeBytes, this->held.size() - begin);
    const ssize_t count =
        write(this->descriptor, this->held.data() + begin, size);
    if (count <= 0) {
      // The reader is gone: drop the lines, as there is nowhere to report the
      // error.
      if (count < 0 && errno != EINTR && errno != EAGAIN) {
        begin = this->held.size();
      }
      break;
    }
    begin += static_cast<std::size_t>(count);
  }
  this->held.erase(0, begin);
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
  standard_output_log = new LogWriter(STDOUT_FILENO, LogBounds{}, kClock);
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
