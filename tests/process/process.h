#ifndef MEADOWTHREAD_TESTS_PROCESS_PROCESS_H_
#define MEADOWTHREAD_TESTS_PROCESS_PROCESS_H_

#include <QProcess>
#include <QStringList>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace meadowthread::tests {

/// @brief Runs the event loop until `done`, or until a generous limit.
/// @return whether it became true; a test fails on false, never on being slow
bool WaitFor(const std::function<bool()>& done);

/// @brief Lets time pass, while answers come.
void Pass(std::chrono::milliseconds time);

/// @brief Ports for this test's hosts, none twice and none that another test's
/// process has got.
std::vector<int> FreePorts(int count);

/// @brief One process that a test started; ended by its id, at the latest when
/// the test ends.
class Process {
 public:
  /// @param[in] program a name in the build's bin folder
  /// @param[in] environment further variables, each NAME=VALUE
  Process(const std::string& program, const QStringList& arguments,
          const QStringList& environment = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Kill();
  void Freeze();
  void Thaw();
  /// @brief SIGTERM.
  void AskToStop();
  /// @brief SIGHUP.
  void Reload();
  bool IsRunning() const;
  /// @brief The largest memory that it has had so far, in MiB.
  std::int64_t PeakMemoryMb() const;
  int ExitCode() const { return this->process->exitCode(); }

  /// @brief The n-th `ready` line's port, waited for.
  int Port(int n = 0);

  /// @brief What it wrote so far, its log among it.
  std::string Log();

 private:
  void Signal(int number);

  std::unique_ptr<QProcess> process;
  std::string out;
  std::string log;
};

}  // namespace meadowthread::tests

#endif  // MEADOWTHREAD_TESTS_PROCESS_PROCESS_H_
