#include "process/process.h"

#include <sys/prctl.h>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpServer>
#include <QThread>
#include <csignal>

#include "absl/strings/numbers.h"

namespace meadowthread::tests {
namespace {

// Longer than any machine needs; a test that gets here has failed.
constexpr int kLimitMs = 60'000;
constexpr int kSliceMs = 5;

// Below the range from which the kernel takes ports for outgoing connections,
// and apart for each test's process: a port that was merely free a moment ago
// is taken by another test before a host listens on it.
constexpr int kFirstPort = 10'240;
constexpr int kPortsPerTest = 20;
constexpr int kTestsApart = 1'000;

}  // namespace

std::vector<int> FreePorts(int count) {
  std::vector<int> ports;
  int port = kFirstPort + (::getpid() % kTestsApart) * kPortsPerTest;
  while (static_cast<int>(ports.size()) < count) {
    QTcpServer probe;
    if (probe.listen(QHostAddress::LocalHost, static_cast<quint16>(port))) {
      ports.push_back(port);
    }
    ++port;
  }
  return ports;
}

bool WaitFor(const std::function<bool()>& done) {
  const QDeadlineTimer limit(kLimitMs);
  while (!done()) {
    if (limit.hasExpired()) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents, kSliceMs);
    QThread::msleep(1);
  }
  return true;
}

void Pass(std::chrono::milliseconds time) {
  const QDeadlineTimer over(time);
  WaitFor([&over] { return over.hasExpired(); });
}

Process::Process(const std::string& program, const QStringList& arguments)
    : process(std::make_unique<QProcess>()) {
  QObject::connect(this->process.get(), &QProcess::readyReadStandardOutput,
                   this->process.get(), [this] {
                     this->out +=
                         this->process->readAllStandardOutput().toStdString();
                   });
  QObject::connect(this->process.get(), &QProcess::readyReadStandardError,
                   this->process.get(), [this] {
                     this->log +=
                         this->process->readAllStandardError().toStdString();
                   });
  // A test that fails or is cut off runs no destructors; its processes end all
  // the same.
  this->process->setChildProcessModifier(
      [] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  this->process->start(
      QString::fromStdString(MEADOWTHREAD_BIN_DIR "/" + program), arguments);
  this->process->waitForStarted();
}

Process::~Process() {
  if (this->IsRunning()) {
    this->Thaw();
    this->Kill();
  }
}

void Process::Signal(int number) {
  if (this->IsRunning()) {
    ::kill(static_cast<pid_t>(this->process->processId()), number);
  }
}

void Process::Kill() {
  this->Signal(SIGKILL);
  this->process->waitForFinished();
}

void Process::Freeze() { this->Signal(SIGSTOP); }
void Process::Thaw() { this->Signal(SIGCONT); }
void Process::Reload() { this->Signal(SIGHUP); }
void Process::AskToStop() { this->Signal(SIGTERM); }

bool Process::IsRunning() const {
  return this->process->state() == QProcess::Running;
}

int Process::Port(int n) {
  const std::string mark = "port=";
  int port = 0;
  WaitFor([this, &mark, n, &port] {
    std::size_t at = 0;
    for (int i = 0; i <= n; ++i) {
      at = this->out.find(mark, at);
      if (at == std::string::npos) {
        return false;
      }
      at += mark.size();
    }
    const std::size_t end = this->out.find('\n', at);
    return end != std::string::npos &&
           absl::SimpleAtoi(this->out.substr(at, end - at), &port);
  });
  return port;
}

std::string Process::Log() { return this->out + this->log; }

}  // namespace meadowthread::tests
