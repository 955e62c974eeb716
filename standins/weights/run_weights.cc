#include "command_line.h"
#include "roles.h"
#include "serve.h"
#include "weights/weight_service.h"

namespace meadowthread::standins {

int RunWeights(std::span<char* const> arguments) {
  CommandLine line("weights");
  TCLAP::ValueArg<double> rate("", "loads-per-second",
                               "Rate limit of loads; 0: none", false, 0, "rate",
                               line.Parser());
  TCLAP::ValueArg<std::int64_t> load_ms("", "load-ms", "Duration of a load",
                                        false, WeightOptions().load_ms, "ms",
                                        line.Parser());
  line.Parse(arguments);
  WeightService service({rate.getValue(), load_ms.getValue()});
  return ServeUntilStopped(&service, "weights", line.Listen());
}

}  // namespace meadowthread::standins
