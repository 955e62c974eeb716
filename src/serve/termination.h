#ifndef MEADOWTHREAD_SERVE_TERMINATION_H_
#define MEADOWTHREAD_SERVE_TERMINATION_H_

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace meadowthread {

/// @brief Delivers SIGTERM and SIGINT on the event loop.
class Termination {
 public:
  /// @param[in] asked called once for each signal
  explicit Termination(std::function<void()> asked);
  ~Termination();
  Termination(const Termination&) = delete;
  Termination& operator=(const Termination&) = delete;

 private:
  void Read();

  std::function<void()> asked;
  int descriptor;
  std::unique_ptr<QSocketNotifier> notifier;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_TERMINATION_H_
