// Runs the policies over both deployments and prints the table that
// docs/BENCH.md explains.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <fstream>
#include <future>
#include <iostream>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "policies.h"
#include "report.h"
#include "tclap/CmdLine.h"
#include "workload.h"

namespace meadowthread::bench {
namespace {

constexpr double kSaturating = 60'000.0;
constexpr std::uint64_t kCapacitySeed = 1'000;

struct Cell {
  const Deployment* deployment = nullptr;
  std::string variant;
  double load = 1.0;
  NamedPolicy policy;
  Faults faults = Faults::kNone;
};

struct Plan {
  std::vector<Deployment> deployments;
  std::vector<double> capacities;
  std::vector<Cell> cells;
  MemoryAwareSetup setup;
  int seeds = 1;
  int threads = 1;
  int deciders = 3;
};

MemoryAwareSetup SetupOf(const Plan& plan, const Deployment& deployment) {
  MemoryAwareSetup setup = plan.setup;
  setup.options.weights = deployment.weights;
  return setup;
}

// What the oracle completes when work never runs out.
double CapacityOf(const Deployment& deployment) {
  RunSettings settings;
  settings.tokens_per_second = kSaturating;
  settings.seed = kCapacitySeed;
  return Run(deployment, *Oracle().factory, settings).tokens_per_s;
}

std::string LoadName(double load) { return std::to_string(load).substr(0, 3); }

void PlanMain(Plan& plan, const std::vector<double>& loads, Faults faults) {
  for (const Deployment& deployment : plan.deployments) {
    const MemoryAwareSetup setup = SetupOf(plan, deployment);
    for (const double load : loads) {
      for (const NamedPolicy& policy :
           {Baseline("round_robin"), Baseline("least_load"),
            Baseline("power_of_two"), MemoryAwarePolicy("memory_aware", setup),
            Oracle()}) {
        plan.cells.push_back(
            {&deployment, LoadName(load), load, policy, faults});
      }
    }
  }
}

void PlanAblations(Plan& plan, double load) {
  for (const Deployment& deployment : plan.deployments) {
    for (const NamedPolicy& policy : Ablations(SetupOf(plan, deployment))) {
      plan.cells.push_back(
          {&deployment, LoadName(load), load, policy, Faults::kNone});
    }
  }
}

void PlanWeights(Plan& plan, double load) {
  for (const Deployment& deployment : plan.deployments) {
    const PolicyWeights even{2.0, 2.0, 1.0};
    for (const PolicyWeights& weights :
         {PolicyWeights{0.5, 2.0, 1.0}, even, PolicyWeights{8.0, 2.0, 1.0},
          PolicyWeights{2.0, 0.5, 1.0}, PolicyWeights{2.0, 8.0, 1.0},
          PolicyWeights{2.0, 2.0, 0.1}, PolicyWeights{2.0, 2.0, 4.0}}) {
      MemoryAwareSetup setup = plan.setup;
      setup.options.weights = weights;
      std::ostringstream name;
      name << "stall=" << weights.stall << " preemption=" << weights.preemption
           << " gap=" << weights.token_gap;
      plan.cells.push_back({&deployment, LoadName(load), load,
                            MemoryAwarePolicy(name.str(), setup),
                            Faults::kNone});
    }
  }
}

RunResult RunOne(const Plan& plan, const Cell& cell, int seed) {
  const auto index =
      static_cast<std::size_t>(cell.deployment - plan.deployments.data());
  RunSettings settings;
  settings.tokens_per_second = plan.capacities[index] * cell.load;
  settings.seed = static_cast<std::uint64_t>(seed);
  settings.faults = cell.faults;
  settings.deciders = plan.deciders;
  return Run(*cell.deployment, *cell.policy.factory, settings);
}

// Every (cell, seed) is a run of its own; threads take the next one free, so
// the results do not depend on their number.
std::vector<Row> RunPlan(const Plan& plan) {
  const auto seeds = static_cast<std::size_t>(plan.seeds);
  std::vector<RunResult> results(plan.cells.size() * seeds);
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < results.size(); i = next++) {
      results[i] =
          RunOne(plan, plan.cells[i / seeds], static_cast<int>(i % seeds) + 1);
    }
  };
  std::vector<std::future<void>> threads;
  threads.reserve(static_cast<std::size_t>(plan.threads));
  for (int i = 0; i < plan.threads; ++i) {
    threads.push_back(std::async(std::launch::async, work));
  }
  for (std::future<void>& thread : threads) {
    thread.get();
  }
  std::vector<Row> rows;
  for (std::size_t i = 0; i < plan.cells.size(); ++i) {
    const std::span<const RunResult> all(results);
    Row row = RowOf(all.subspan(i * seeds, seeds));
    row.deployment = plan.cells[i].deployment->name;
    row.variant = plan.cells[i].variant;
    row.policy = plan.cells[i].policy.name;
    rows.push_back(row);
  }
  return rows;
}

void PlanTable(Plan& plan, std::string_view table, double one_load) {
  std::vector<double> loads = {0.6, 0.9, 1.1, 1.5};
  if (one_load > 0.0) {
    loads = {one_load};
  }
  const double other_load = one_load > 0.0 ? one_load : 1.1;
  if (table == "loads") {
    PlanMain(plan, loads, Faults::kNone);
  } else if (table == "faults") {
    PlanMain(plan, {one_load > 0.0 ? one_load : 0.9},
             Faults::kDeathStallReclaim);
  } else if (table == "ablations") {
    PlanAblations(plan, other_load);
  } else {
    PlanWeights(plan, other_load);
  }
}

void FindCapacities(Plan& plan) {
  for (const Deployment& deployment : plan.deployments) {
    plan.capacities.push_back(CapacityOf(deployment));
    std::cout << "capacity of " << deployment.name << ": "
              << static_cast<std::int64_t>(plan.capacities.back())
              << " tokens/s\n";
  }
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("The policy bench in virtual time", ' ', "1");
  TCLAP::ValueArg<int> seeds("", "seeds", "seeds of each cell", false, 5,
                             "count", command);
  TCLAP::ValueArg<int> threads("", "threads", "cells run at once", false, 3,
                               "count", command);
  TCLAP::ValueArg<std::string> table("", "table",
                                     "loads, faults, ablations or weights",
                                     false, "loads", "table", command);
  TCLAP::ValueArg<double> load("", "load", "one load in place of all four",
                               false, 0.0, "load", command);
  TCLAP::ValueArg<std::string> csv("", "csv", "file for the values", false, "",
                                   "path", command);
  TCLAP::ValueArg<std::string> only("", "only", "one policy of the table",
                                    false, "", "name", command);
  TCLAP::ValueArg<double> risk("", "risk", "risk that is accepted", false, -1.0,
                               "risk", command);
  TCLAP::ValueArg<double> room("", "urgent-room",
                               "part of the memory kept for urgent work", false,
                               -1.0, "part", command);
  TCLAP::ValueArg<int> deciders("", "deciders", "entry hosts", false, 3,
                                "count", command);
  command.parse(argc, argv);
  Plan plan;
  plan.deployments = {Lukot(), LacteaNorte()};
  plan.seeds = seeds.getValue();
  plan.threads = threads.getValue();
  plan.deciders = deciders.getValue();
  if (risk.getValue() >= 0.0) {
    plan.setup.options.max_risk = risk.getValue();
  }
  if (room.getValue() >= 0.0) {
    plan.setup.options.urgent_room = room.getValue();
  }
  FindCapacities(plan);
  PlanTable(plan, table.getValue(), load.getValue());
  if (!only.getValue().empty()) {
    std::erase_if(plan.cells, [&](const Cell& cell) {
      return cell.policy.name != only.getValue();
    });
  }
  const std::vector<Row> rows = RunPlan(plan);
  PrintTable(std::cout, rows);
  if (!csv.getValue().empty()) {
    std::ofstream file(csv.getValue());
    PrintCsv(file, rows);
  }
  return 0;
}

}  // namespace
}  // namespace meadowthread::bench

int main(int argc, char** argv) {
  try {
    return meadowthread::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
