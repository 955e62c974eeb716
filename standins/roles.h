#ifndef MEADOWTHREAD_STANDINS_ROLES_H_
#define MEADOWTHREAD_STANDINS_ROLES_H_

#include <span>

namespace meadowthread::standins {

// Each function serves one role until SIGTERM or SIGINT. It gets the arguments
// that follow the role and returns the exit code of the process.

/// @brief Model engines, one or many, each on its own port.
int RunEngine(std::span<char* const> arguments);

/// @brief The platform's object API.
int RunObjects(std::span<char* const> arguments);

/// @brief The platform's host list.
int RunHostList(std::span<char* const> arguments);

/// @brief A plain backend server.
int RunBackend(std::span<char* const> arguments);

/// @brief The weight store.
int RunWeights(std::span<char* const> arguments);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ROLES_H_
