#ifndef MEADOWTHREAD_STANDINS_SERVE_H_
#define MEADOWTHREAD_STANDINS_SERVE_H_

#include <string_view>

#include "command_line.h"
#include "http/http_listener.h"

namespace meadowthread::standins {

/// @brief Serves one service on one port until SIGTERM or SIGINT.
/// @return the exit code of the process
int ServeUntilStopped(HttpService* service, std::string_view role,
                      const ListenOptions& listen);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_SERVE_H_
