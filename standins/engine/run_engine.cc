#include <QCoreApplication>
#include <iostream>

#include "command_line.h"
#include "engine/engine_arguments.h"
#include "engine/engine_pool.h"
#include "roles.h"

namespace meadowthread::standins {

int RunEngine(std::span<char* const> arguments) {
  CommandLine line("engine");
  EngineArguments own(&line.Parser());
  line.Parse(arguments);
  const ListenOptions listen = line.Listen();
  EnginePool pool(own.TickMs());
  const int first = own.FirstPort() > 0 ? own.FirstPort() : listen.port;
  for (int index = 0; index < own.Count(); ++index) {
    const std::string name = own.Count() == 1
                                 ? listen.name
                                 : listen.name + std::to_string(index + 1);
    const auto port = static_cast<std::uint16_t>(first > 0 ? first + index : 0);
    if (!pool.Add(own.Options(), name, listen.address, port)) {
      std::cerr << "cannot listen on " << listen.address << ":" << port
                << std::endl;
      return 1;
    }
  }
  return QCoreApplication::exec();
}

}  // namespace meadowthread::standins
