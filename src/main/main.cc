#include <glog/logging.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log_writer.h"
#include "cli/check_command.h"
#include "cli/command_registry.h"
#include "cli/explain_command.h"
#include "cli/host_commands.h"
#include "cli/ownership_commands.h"
#include "cli/qt_platform.h"
#include "cli/quarantine_commands.h"
#include "cli/status_command.h"
#include "cli/template_commands.h"
#include "cli/version_command.h"
#include "cli/zone_commands.h"
#ifdef MEADOWTHREAD_HAS_SERVE
#include "main/relay_command.h"
#include "main/serve_command.h"
#endif

namespace meadowthread {
namespace {

// Hosts have no disks, so nothing is logged to files. The standard output of a
// command is its result; only the host processes (`serve` and `relay`) write
// their log there.
void SetUpLogging(const char* program, bool serves) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = serves ? google::GLOG_INFO : google::GLOG_WARNING;
  google::InitGoogleLogging(program);
  if (serves) {
    LogToStandardOutput();
  }
}

int RunMain(std::span<const std::string> words) {
  const SystemClock clock;
  RandomNonceSource operations;
  QtPlatformConnector connector;
  CommandRegistry registry;
#ifdef MEADOWTHREAD_HAS_SERVE
  registry.Add(MakeServeCommand());
  registry.Add(MakeRelayCommand());
#endif
  registry.Add(MakeTemplatePutCommand(connector, clock, operations));
  registry.Add(MakeTemplateGetCommand(connector));
  registry.Add(MakeTemplateListCommand(connector));
  registry.Add(MakeTemplateHistoryCommand(connector));
  registry.Add(MakeHostMarkCommand(connector, clock, operations));
  registry.Add(MakeZoneListCommand(connector));
  registry.Add(MakeZoneEmptyCommand(connector, clock, operations));
  registry.Add(MakeZoneTakeBackCommand(connector, clock, operations));
  registry.Add(MakeHostListCommand(connector));
  registry.Add(MakeStatusCommand(connector, clock));
  registry.Add(MakeExplainCommand());
  registry.Add(MakeCheckCommand());
  registry.Add(MakeOwnershipShowCommand(connector));
  registry.Add(MakeOwnershipMoveCommand(connector, clock, operations));
  registry.Add(MakeQuarantineListCommand(connector, clock));
  registry.Add(MakeQuarantineKeepCommand(connector, clock));
  registry.Add(MakeQuarantineLiftCommand(connector, clock));
  registry.Add(MakeVersionCommand());
  Console console = {std::cin, std::cout, std::cerr};
  return static_cast<int>(registry.Run(words, console));
}

}  // namespace
}  // namespace meadowthread

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  // Writing to a connection that the peer has closed must not kill the process.
  std::signal(SIGPIPE, SIG_IGN);
  meadowthread::SetUpLogging(
      argv[0],
      !words.empty() && (words.front() == "serve" || words.front() == "relay"));
  try {
    return meadowthread::RunMain(words);
  } catch (const std::exception& error) {
    std::cerr << "meadowthread: " << error.what() << "\n";
    return static_cast<int>(meadowthread::ExitCode::kFailed);
  }
}
