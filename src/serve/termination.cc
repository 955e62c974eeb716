#include "serve/termination.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace meadowthread {
namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

Termination::Termination(std::function<void()> asked)
    : asked(std::move(asked)) {
  const sigset_t set = StopSignals();
  // Before any thread is started, so that all of them leave the signals alone.
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  this->descriptor = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  this->notifier = std::make_unique<QSocketNotifier>(this->descriptor,
                                                     QSocketNotifier::Read);
  QObject::connect(this->notifier.get(), &QSocketNotifier::activated,
                   this->notifier.get(), [this] { this->Read(); });
}

Termination::~Termination() {
  this->notifier.reset();
  close(this->descriptor);
}

void Termination::Read() {
  signalfd_siginfo info;
  while (read(this->descriptor, &info, sizeof(info)) == sizeof(info)) {
    this->asked();
  }
}

}  // namespace meadowthread
