#include "serve/serve.h"

#include <glog/logging.h>

#include <QCoreApplication>

#include "base/error.h"
#include "serve/host_process.h"
#include "serve/termination.h"

namespace meadowthread {
namespace {

constexpr int kExitUsage = 2;
constexpr int kNoStopAsked = 0;

}  // namespace

int RunServe(const Settings& settings) {
  int argument_count = 1;
  char program[] = "meadowthread";
  char* arguments[] = {program, nullptr};
  QCoreApplication application(argument_count, arguments);
  int stops_asked = kNoStopAsked;
  std::unique_ptr<HostProcess> host;
  const Termination termination([&stops_asked, &host] {
    ++stops_asked;
    if (host != nullptr) {
      host->Stop(stops_asked);
    }
  });
  const absl::StatusOr<SecretKeys> keys = ReadSecretKeys(settings);
  if (!keys.ok()) {
    LOG(ERROR) << keys.status().message();
    return kExitUsage;
  }
  host = std::make_unique<HostProcess>(settings, *keys);
  const absl::Status started = host->Start();
  if (!started.ok()) {
    LOG(ERROR) << "event=start-failed step=" << DetailOf(started).step
               << " peer=" << DetailOf(started).peer
               << " why=" << started.message();
    return kExitUsage;
  }
  const int code = QCoreApplication::exec();
  host.reset();
  return code;
}

}  // namespace meadowthread
