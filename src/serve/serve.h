#ifndef MEADOWTHREAD_SERVE_SERVE_H_
#define MEADOWTHREAD_SERVE_SERVE_H_

#include "settings/settings.h"

namespace meadowthread {

/// @brief Runs an entry host until a stop is requested and its work is done.
/// @return the process's exit code
int RunServe(const Settings& settings);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_SERVE_H_
