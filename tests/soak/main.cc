// Plays one seed of one program: real processes, faults from outside of them,
// promises checked from what callers and back ends see.
#include <QCoreApplication>
#include <QDir>
#include <QFile>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "soak/fault_round.h"
#include "soak/guilty_finale.h"
#include "soak/leaving_finale.h"
#include "soak/restore_finale.h"
#include "soak/world.h"

namespace meadowthread::soak {
namespace {

// About what a round takes; a seed's course must not depend on the machine's
// speed, so rounds are counted and no clock is asked.
constexpr int kSecondsARound = 6;

struct Order {
  std::string program;
  int seed = 0;
  int seconds = 0;
  std::string logs;  ///< folder
};

void Keep(const Order& order, const std::string& name,
          const std::string& text) {
  QDir().mkpath(QString::fromStdString(order.logs));
  QFile file(QString::fromStdString(order.logs + "/" + name));
  if (!file.open(QIODevice::WriteOnly)) {
    std::cerr << "cannot write " << order.logs << "/" << name << "\n";
    return;
  }
  file.write(QByteArray::fromStdString(text));
}

int Play(const Order& order) {
  const std::unique_ptr<World> world =
      order.program == "serve" ? MakeServeWorld() : MakeRelayWorld();
  SoakState state{*world, Draw(static_cast<std::uint64_t>(order.seed)),
                  0,      {},
                  true,   {},
                  {},     {},
                  0,      0,
                  0};
  if (!world->Start()) {
    state.violations.emplace_back("the hosts do not come up");
  }
  const int rounds = std::max(1, order.seconds / kSecondsARound);
  for (int i = 0; i < rounds && state.violations.empty(); ++i) {
    state.events.push_back(absl::StrCat("round ", i + 1));
    FaultRound(state).Play();
  }
  if (state.violations.empty()) {
    FaultRound(state).PlayQuiet();
    CheckLastingPromises(state);
  }
  if (state.violations.empty()) {
    PlayLeavingFinale(state);
  }
  if (state.violations.empty()) {
    PlayGuiltyFinale(state);
  }
  if (state.violations.empty()) {
    FaultRound(state).PlayQuiet();
  }
  if (state.violations.empty()) {
    PlayRestoreFinale(state);
  }
  const std::string name =
      absl::StrCat("soak::", order.program, "_seed_", order.seed);
  if (state.violations.empty()) {
    std::cout << "ok - " << name << " (" << state.whole << " whole, "
              << state.not_run << " refused as not run, " << state.excused
              << " ended by faults)" << std::endl;
    return EXIT_SUCCESS;
  }
  Keep(order, "story", absl::StrJoin(state.events, "\n") + "\n");
  for (const auto& [host, log] : world->Logs()) {
    Keep(order, host + ".log", log);
  }
  std::cout << "not ok - " << name << " (" << state.violations.front()
            << "; logs in " << order.logs << ")" << std::endl;
  return EXIT_FAILURE;
}

int Run(const std::vector<std::string>& arguments) {
  constexpr std::size_t kArguments = 4;
  Order order;
  if (arguments.size() != kArguments ||
      !absl::SimpleAtoi(arguments[1], &order.seed) ||
      !absl::SimpleAtoi(arguments[2], &order.seconds) ||
      (arguments[0] != "serve" && arguments[0] != "relay")) {
    std::cerr << "usage: meadowthread-soak serve|relay SEED SECONDS LOGS\n";
    return 2;
  }
  order.program = arguments[0];
  order.logs = arguments[3];
  return Play(order);
}

}  // namespace
}  // namespace meadowthread::soak

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  try {
    return meadowthread::soak::Run(
        std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "meadowthread-soak: " << error.what() << "\n";
    return 1;
  }
}
