#ifndef MEADOWTHREAD_TESTS_SOAK_RESTORE_FINALE_H_
#define MEADOWTHREAD_TESTS_SOAK_RESTORE_FINALE_H_

#include "soak/fault_round.h"

namespace meadowthread::soak {

/// @brief The store comes back from an older copy, once or several times, while
/// hosts' ways to it are bad: no key that was revoked is taken again, and later
/// changes are in force. Nothing where the store can't go back.
void PlayRestoreFinale(SoakState& state);

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_RESTORE_FINALE_H_
