#ifndef MEADOWTHREAD_TESTS_SOAK_LEAVING_FINALE_H_
#define MEADOWTHREAD_TESTS_SOAK_LEAVING_FINALE_H_

#include "soak/fault_round.h"

namespace meadowthread::soak {

/// @brief Before the end of a seed: servers leave without a word but their
/// entry's removal while hosts' ways to the store are bad, and lapse with the
/// store; where entries can't be taken away, nothing.
void PlayLeavingFinale(SoakState& state);

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_LEAVING_FINALE_H_
