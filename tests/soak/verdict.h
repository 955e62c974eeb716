#ifndef MEADOWTHREAD_TESTS_SOAK_VERDICT_H_
#define MEADOWTHREAD_TESTS_SOAK_VERDICT_H_

#include <set>
#include <string>

#include "soak/sent_request.h"
#include "soak/world.h"

namespace meadowthread::soak {

/// @brief What the faults of a round may have affected.
struct FaultEffects {
  std::set<int> ended_hosts;  ///< told to stop: new requests may go unread
  std::set<int> killed_hosts;
  std::set<int> late_hosts;       ///< their grace ended before their answers
  std::set<int> broken_links;     ///< between callers and these hosts
  std::set<std::string> engines;  ///< killed, or over broken links
};

/// @brief What is wrong with the answer to a request; empty if nothing is.
std::string FindViolation(World& world, const FaultEffects& effects,
                          const SentRequest& sent, const Answer& answer);

/// @brief A request and its end in a line.
std::string Describe(const SentRequest& sent, const Answer& answer,
                     const Runs& runs);

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_VERDICT_H_
