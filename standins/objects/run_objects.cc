#include "command_line.h"
#include "objects/object_service.h"
#include "roles.h"
#include "serve.h"

namespace meadowthread::standins {

int RunObjects(std::span<char* const> arguments) {
  CommandLine line("objects");
  TCLAP::ValueArg<double> writes("", "writes-per-second",
                                 "Rate limit of writes; 0: none", false, 0,
                                 "rate", line.Parser());
  TCLAP::ValueArg<double> reads("", "reads-per-second",
                                "Rate limit of reads and watches; 0: none",
                                false, 0, "rate", line.Parser());
  TCLAP::ValueArg<std::int64_t> history(
      "", "history",
      "Number of past revisions from which changes can be listed", false,
      1'000'000, "revisions", line.Parser());
  line.Parse(arguments);
  ObjectService service(
      {writes.getValue(), reads.getValue(), history.getValue()});
  return ServeUntilStopped(&service, "objects", line.Listen());
}

}  // namespace meadowthread::standins
