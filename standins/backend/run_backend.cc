#include "backend/backend_service.h"
#include "command_line.h"
#include "roles.h"
#include "serve.h"

namespace meadowthread::standins {

int RunBackend(std::span<char* const> arguments) {
  CommandLine line("backend");
  line.Parse(arguments);
  BackendService service(line.Listen().name);
  return ServeUntilStopped(&service, "backend", line.Listen());
}

}  // namespace meadowthread::standins
