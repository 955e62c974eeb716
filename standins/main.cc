#include <QCoreApplication>
#include <iostream>
#include <span>
#include <string_view>

#include "http/stop_signal.h"
#include "roles.h"

namespace meadowthread::standins {
namespace {

constexpr int kUsageError = 2;

struct Role {
  std::string_view name;
  int (*run)(std::span<char* const> arguments);
};

constexpr Role kRoles[] = {
    {"engine", RunEngine},   {"objects", RunObjects}, {"hostlist", RunHostList},
    {"backend", RunBackend}, {"weights", RunWeights},
};

int PrintUsage() {
  std::cerr << "usage: meadowthread-standins ROLE [--help]\nroles:";
  for (const Role& role : kRoles) {
    std::cerr << ' ' << role.name;
  }
  std::cerr << std::endl;
  return kUsageError;
}

int Run(std::span<char* const> arguments) {
  if (arguments.size() < 2) {
    return PrintUsage();
  }
  const std::string_view wanted = arguments[1];
  for (const Role& role : kRoles) {
    if (role.name == wanted) {
      return role.run(arguments.subspan(2));
    }
  }
  return PrintUsage();
}

}  // namespace
}  // namespace meadowthread::standins

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  const meadowthread::standins::StopSignal stop;
  return meadowthread::standins::Run(
      std::span<char* const>(argv, static_cast<std::size_t>(argc)));
}
