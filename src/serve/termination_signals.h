#ifndef MEADOWTHREAD_SERVE_TERMINATION_SIGNALS_H_
#define MEADOWTHREAD_SERVE_TERMINATION_SIGNALS_H_

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace meadowthread {

/// @brief Delivers SIGTERM, SIGINT and SIGHUP on the event loop.
class TerminationSignals {
 public:
  /// @param[in] on_stop called once for each SIGTERM and SIGINT
  /// @param[in] on_reload called once for each SIGHUP; if null, SIGHUP is not
  /// handled and terminates the process
  explicit TerminationSignals(std::function<void()> on_stop,
                              std::function<void()> on_reload = nullptr);
  ~TerminationSignals();
  TerminationSignals(const TerminationSignals&) = delete;
  TerminationSignals& operator=(const TerminationSignals&) = delete;

 private:
  void Read();

  std::function<void()> on_stop;
  std::function<void()> on_reload;
  int descriptor;
  std::unique_ptr<QSocketNotifier> notifier;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_TERMINATION_SIGNALS_H_
