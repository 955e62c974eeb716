#ifndef MEADOWTHREAD_SERVE_DETAIL_START_AND_RUN_H_
#define MEADOWTHREAD_SERVE_DETAIL_START_AND_RUN_H_

#include <glog/logging.h>

#include <QCoreApplication>
#include <memory>

#include "base/error.h"
#include "base/log_line.h"
#include "base/log_writer.h"
#include "settings/settings.h"

namespace meadowthread::detail {

/// @brief Exit code of a process whose settings are invalid or that failed to
/// start.
inline constexpr int kExitUsage = 2;

/// @brief Logs that a host starts, before anything that can block: a process
/// that hangs in its start is told from one that never ran.
inline void LogStart(const HostSettings& host) {
  LogLine("starting").Add("host", host.name).WriteImportant();
  FlushLog();
}

/// @brief Starts a host and runs the event loop until it quits. Destroys the
/// host before it returns, while the application object still exists.
/// @return the process's exit code
template <typename Host>
int StartAndRun(std::unique_ptr<Host>& host) {
  const absl::Status started = host->Start();
  if (!started.ok()) {
    LOG(ERROR) << "event=start-failed step=" << DetailOf(started).step
               << " peer=" << DetailOf(started).peer
               << " why=" << started.message();
    return kExitUsage;
  }
  const int code = QCoreApplication::exec();
  host.reset();
  return code;
}

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_SERVE_DETAIL_START_AND_RUN_H_
