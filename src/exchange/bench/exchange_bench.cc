// Benchmarks of the cost and speed of the exchange between hosts. CI does not
// check the results.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "exchange/bench/bench_runs.h"

namespace {

constexpr int kDefaultTrials = 20;
constexpr int kDefaultSeconds = 30;
constexpr int kDefaultHosts = 9;
constexpr int kDefaultItems = 1000;

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Measures the exchange between hosts", ' ', "1");
  std::vector<std::string> names = {"consistency", "cost", "restart", "wire"};
  TCLAP::ValuesConstraint<std::string> known(names);
  TCLAP::UnlabeledValueArg<std::string> run("run", "what to measure", true, "",
                                            &known, command);
  TCLAP::ValueArg<int> trials("", "trials", "changes for each row", false,
                              kDefaultTrials, "N", command);
  TCLAP::ValueArg<int> seconds("", "seconds", "length of each row", false,
                               kDefaultSeconds, "S", command);
  TCLAP::ValueArg<int> hosts("", "hosts", "hosts of `wire`", false,
                             kDefaultHosts, "N", command);
  TCLAP::ValueArg<int> items("", "items", "objects of `wire`", false,
                             kDefaultItems, "N", command);
  TCLAP::SwitchArg relay("", "relay", "count bytes of `wire` in relays",
                         command);
  command.parse(argc, argv);
  if (run.getValue() == "consistency") {
    meadowthread::bench::RunConsistency(trials.getValue());
  } else if (run.getValue() == "cost") {
    meadowthread::bench::RunCost(seconds.getValue());
  } else if (run.getValue() == "restart") {
    meadowthread::bench::RunRestart();
  } else {
    meadowthread::bench::RunWire(hosts.getValue(), seconds.getValue(),
                                 items.getValue(), relay.getValue());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
