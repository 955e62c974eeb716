#include "serve.h"

#include <QCoreApplication>
#include <iostream>

namespace meadowthread::standins {

int ServeUntilStopped(HttpService* service, std::string_view role,
                      const ListenOptions& listen) {
  HttpListener listener(service);
  if (listener.Listen(listen.address, listen.port, role, listen.name) == 0) {
    std::cerr << "cannot listen on " << listen.address << ":" << listen.port
              << std::endl;
    return 1;
  }
  return QCoreApplication::exec();
}

}  // namespace meadowthread::standins
