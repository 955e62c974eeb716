#include "serve/termination_signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace meadowthread {
namespace {

sigset_t Signals(bool reloads) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  if (reloads) {
    sigaddset(&set, SIGHUP);
  }
  return set;
}

}  // namespace

TerminationSignals::TerminationSignals(std::function<void()> on_stop,
                                       std::function<void()> on_reload)
    : on_stop(std::move(on_stop)), on_reload(std::move(on_reload)) {
  const sigset_t set = Signals(static_cast<bool>(this->on_reload));
  // Must run before any thread is started, so that all threads inherit the
  // blocked signals.
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  this->descriptor = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  this->notifier = std::make_unique<QSocketNotifier>(this->descriptor,
                                                     QSocketNotifier::Read);
  QObject::connect(this->notifier.get(), &QSocketNotifier::activated,
                   this->notifier.get(), [this] { this->Read(); });
}

TerminationSignals::~TerminationSignals() {
  this->notifier.reset();
  close(this->descriptor);
}

void TerminationSignals::Read() {
  signalfd_siginfo info;
  while (read(this->descriptor, &info, sizeof(info)) == sizeof(info)) {
    (info.ssi_signo == SIGHUP ? this->on_reload : this->on_stop)();
  }
}

}  // namespace meadowthread
