#include "command_line.h"
#include "roles.h"
#include "serve.h"
#include "weights/weight_service.h"

namespace meadowthread::standins {

int RunWeights(std::span<char* const> arguments) {
  CommandLine line("weights");
  TCLAP::ValueArg<double> rate("", "loads-per-second",
                               "Loads let through; 0: all", false, 0, "rate",
                               line.Parser());
  TCLAP::ValueArg<std::int64_t> load_ms("", "load-ms", "How long a load takes",
                                        false, WeightOptions().load_ms, "ms",
                                        line.Parser());
  line.Parse(arguments);
  WeightService service({rate.getValue(), load_ms.getValue()});
  return ServeUntilStopped(&service, "weights", line.Listen());
}

}  // namespace meadowthread::standins
