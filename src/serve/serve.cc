#include "serve/serve.h"

#include <glog/logging.h>

#include <QCoreApplication>

#include "serve/detail/start_and_run.h"
#include "serve/host_process.h"
#include "serve/termination_signals.h"

namespace meadowthread {
namespace {

constexpr int kNoStopAsked = 0;

}  // namespace

int RunServe(const Settings& settings) {
  detail::LogStart(settings.host);
  int argument_count = 1;
  char program[] = "meadowthread";
  char* arguments[] = {program, nullptr};
  QCoreApplication application(argument_count, arguments);
  int stops_asked = kNoStopAsked;
  std::unique_ptr<HostProcess> host;
  const TerminationSignals termination([&stops_asked, &host] {
    ++stops_asked;
    if (host != nullptr) {
      host->Stop(stops_asked);
    }
  });
  const absl::StatusOr<SecretKeys> keys = ReadSecretKeys(settings);
  if (!keys.ok()) {
    LOG(ERROR) << keys.status().message();
    return detail::kExitUsage;
  }
  host = std::make_unique<HostProcess>(settings, *keys);
  return detail::StartAndRun(host);
}

}  // namespace meadowthread
