#include "command_line.h"
#include "objects/object_service.h"
#include "roles.h"
#include "serve.h"

namespace meadowthread::standins {

int RunObjects(std::span<char* const> arguments) {
  CommandLine line("objects");
  TCLAP::ValueArg<double> writes("", "writes-per-second",
                                 "Writes let through; 0: all", false, 0, "rate",
                                 line.Parser());
  TCLAP::ValueArg<double> reads("", "reads-per-second",
                                "Reads and watches let through; 0: all", false,
                                0, "rate", line.Parser());
  TCLAP::ValueArg<std::int64_t> history(
      "", "history", "Revisions back to which changes can be asked for", false,
      1'000'000, "revisions", line.Parser());
  line.Parse(arguments);
  ObjectService service(
      {writes.getValue(), reads.getValue(), history.getValue()});
  return ServeUntilStopped(&service, "objects", line.Listen());
}

}  // namespace meadowthread::standins
