#include "process/process.h"

#include <sys/prctl.h>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpServer>
#include <QThread>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string_view>
#include <utility>

#include "absl/strings/numbers.h"

namespace meadowthread::tests {
namespace {

// Longer than any machine needs; a test that gets here has failed.
constexpr int kLimitMs = 60'000;
constexpr int kSliceMs = 5;

// Below the range from which the kernel takes ports for outgoing connections.
// Tests run side by side, so that each takes whole blocks for itself alone: a
// port that was merely free a moment ago is taken by another test before a host
// listens on it.
constexpr int kFirstPort = 10'240;
constexpr int kPortsPerBlock = 40;
constexpr int kBlocks = 560;

int FirstPortOf(int block) { return kFirstPort + block * kPortsPerBlock; }

/// @brief Whether a server could listen on this port; it does from then on.
bool ListensOn(QTcpServer* server, int port) {
  return server->listen(QHostAddress::LocalHost, static_cast<quint16>(port));
}

// Takes the next block that no other process holds. Listening on its first port
// keeps others off until this process ends.
int TakeBlock() {
  static std::vector<std::unique_ptr<QTcpServer>> held;
  static int next = ::getpid() % kBlocks;
  for (int tries = 0; tries < kBlocks; ++tries) {
    const int block = next;
    next = (next + 1) % kBlocks;
    auto holder = std::make_unique<QTcpServer>();
    if (ListensOn(holder.get(), FirstPortOf(block))) {
      held.push_back(std::move(holder));
      return block;
    }
  }
  std::fprintf(stderr, "all blocks of ports are taken\n");
  std::abort();
}

}  // namespace

std::vector<int> FreePorts(int count) {
  std::vector<int> ports;
  while (static_cast<int>(ports.size()) < count) {
    const int first = FirstPortOf(TakeBlock());
    for (int port = first + 1; port < first + kPortsPerBlock; ++port) {
      QTcpServer probe;
      if (static_cast<int>(ports.size()) < count && ListensOn(&probe, port)) {
        ports.push_back(port);
      }
    }
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

Process::Process(const std::string& program, const QStringList& arguments,
                 const QStringList& environment)
    : process(std::make_unique<QProcess>()) {
  if (!environment.isEmpty()) {
    this->process->setEnvironment(QProcess::systemEnvironment() + environment);
  }
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

std::int64_t Process::PeakMemoryMb() const {
  constexpr std::int64_t kKibPerMib = 1'024;
  constexpr std::string_view kField = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(this->process->processId()) +
                       "/status");
  for (std::string word; status >> word;) {
    std::int64_t kib = 0;
    if (word == kField && status >> kib) {
      return kib / kKibPerMib;
    }
  }
  return 0;
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
