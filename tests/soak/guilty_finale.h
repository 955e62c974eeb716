#ifndef MEADOWTHREAD_TESTS_SOAK_GUILTY_FINALE_H_
#define MEADOWTHREAD_TESTS_SOAK_GUILTY_FINALE_H_

#include "soak/fault_round.h"

namespace meadowthread::soak {

/// @brief The end of a seed: a request that ends the engines which run it comes
/// again and again at hosts that are killed meanwhile.
void PlayGuiltyFinale(SoakState& state);

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_GUILTY_FINALE_H_
