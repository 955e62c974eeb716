#ifndef MEADOWTHREAD_SERVE_TERMINATION_H_
#define MEADOWTHREAD_SERVE_TERMINATION_H_

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace meadowthread {

/// @brief Delivers SIGTERM, SIGINT and SIGHUP on the event loop.
class Termination {
 public:
  /// @param[in] on_stop called once for each SIGTERM and SIGINT
  /// @param[in] on_reload called once for each SIGHUP; if null, SIGHUP is not
  /// handled and terminates the process
  explicit Termination(std::function<void()> on_stop,
                       std::function<void()> on_reload = nullptr);
  ~Termination();
  Termination(const Termination&) = delete;
  Termination& operator=(const Termination&) = delete;

 private:
  void Read();

  std::function<void()> on_stop;
  std::function<void()> on_reload;
  int descriptor;
  std::unique_ptr<QSocketNotifier> notifier;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_TERMINATION_H_
