#ifndef MEADOWTHREAD_TESTS_SOAK_LEAVING_FINALE_H_
#define MEADOWTHREAD_TESTS_SOAK_LEAVING_FINALE_H_

#include "soak/round.h"

namespace meadowthread::soak {

/// @brief Before the end of a seed: servers leave without a word but their
/// entry's removal while hosts' ways to the store are bad, and lapse with the
/// store; where entries can't be taken away, nothing.
void PlayLeavingFinale(Course& course);

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_LEAVING_FINALE_H_
