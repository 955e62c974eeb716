#ifndef MEADOWTHREAD_SERVE_TERMINATION_H_
#define MEADOWTHREAD_SERVE_TERMINATION_H_

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace meadowthread {

/// @brief Delivers SIGTERM, SIGINT and SIGHUP on the event loop.
class Termination {
 public:
  /// @param[in] asked called once for each SIGTERM and SIGINT
  /// @param[in] reload called once for each SIGHUP; none: it ends the process
  explicit Termination(std::function<void()> asked,
                       std::function<void()> reload = nullptr);
  ~Termination();
  Termination(const Termination&) = delete;
  Termination& operator=(const Termination&) = delete;

 private:
  void Read();

  std::function<void()> asked;
  std::function<void()> reload;
  int descriptor;
  std::unique_ptr<QSocketNotifier> notifier;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_TERMINATION_H_
