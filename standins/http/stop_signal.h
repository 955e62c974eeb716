#ifndef MEADOWTHREAD_STANDINS_HTTP_STOP_SIGNAL_H_
#define MEADOWTHREAD_STANDINS_HTTP_STOP_SIGNAL_H_

#include <QSocketNotifier>
#include <memory>

namespace meadowthread::standins {

/// @brief Quits the event loop on SIGTERM or SIGINT.
///
/// The signals are blocked and read from a signalfd, so that no code runs in a
/// signal handler.
class StopSignal {
 public:
  StopSignal();
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

 private:
  int descriptor;
  std::unique_ptr<QSocketNotifier> notifier;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_STOP_SIGNAL_H_
