#include <glog/logging.h>

#include <QCoreApplication>

#include "serve/detail/start_and_run.h"
#include "serve/relay_host.h"
#include "serve/termination_signals.h"

namespace meadowthread {

int RunRelay(const RelaySettings& settings, std::string_view settings_file,
             RelayPlatform& platform) {
  detail::LogStart(settings.host);
  int argument_count = 1;
  char program[] = "meadowthread";
  char* arguments[] = {program, nullptr};
  QCoreApplication application(argument_count, arguments);
  std::unique_ptr<RelayHost> host;
  const TerminationSignals termination(
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
  return detail::StartAndRun(host);
}

}  // namespace meadowthread
