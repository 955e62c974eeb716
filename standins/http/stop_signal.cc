#include "http/stop_signal.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <QCoreApplication>
#include <csignal>

namespace meadowthread::standins {

StopSignal::StopSignal() {
  sigset_t stop_set;
  sigemptyset(&stop_set);
  sigaddset(&stop_set, SIGTERM);
  sigaddset(&stop_set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_set, nullptr);
  this->descriptor = signalfd(-1, &stop_set, SFD_NONBLOCK | SFD_CLOEXEC);
  this->notifier = std::make_unique<QSocketNotifier>(this->descriptor,
                                                     QSocketNotifier::Read);
  QObject::connect(this->notifier.get(), &QSocketNotifier::activated,
                   [] { QCoreApplication::quit(); });
}

StopSignal::~StopSignal() {
  this->notifier.reset();
  close(this->descriptor);
}

}  // namespace meadowthread::standins
