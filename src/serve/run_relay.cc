#include <glog/logging.h>

#include <QCoreApplication>

#include "base/error.h"
#include "serve/relay_host.h"
#include "serve/termination.h"

namespace meadowthread {
namespace {

constexpr int kExitUsage = 2;

}  // namespace

int RunRelay(const RelaySettings& settings, std::string_view settings_file,
             RelayPlatform& platform) {
  int argument_count = 1;
  char program[] = "meadowthread";
  char* arguments[] = {program, nullptr};
  QCoreApplication application(argument_count, arguments);
  std::unique_ptr<RelayHost> host;
  const Termination termination(
      [&host] {
        if (host != nullptr) {
          host->Stop();
        }
      },
      [&host, settings_file] {
        const ParsedRelaySettings read = LoadRelaySettings(settings_file);
        if (host == nullptr || !read.IsValid()) {
          LOG(ERROR) << "event=reload-refused why=" << read.Status().message();
          return;
        }
        host->Reload(read.settings);
      });
  host = std::make_unique<RelayHost>(settings, platform);
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
