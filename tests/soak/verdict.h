#ifndef MEADOWTHREAD_TESTS_SOAK_VERDICT_H_
#define MEADOWTHREAD_TESTS_SOAK_VERDICT_H_

#include <set>
#include <string>

#include "soak/asked.h"
#include "soak/world.h"

namespace meadowthread::soak {

/// @brief What faults of the plan explain in one round.
struct Disturbed {
  std::set<int> ended_hosts;  ///< told to stop: new requests may go unread
  std::set<int> killed_hosts;
  std::set<int> late_hosts;       ///< their grace ended before their answers
  std::set<int> broken_links;     ///< between callers and these hosts
  std::set<std::string> engines;  ///< killed, or over broken links
};

/// @brief What is wrong with what came for a request, empty where nothing is.
std::string Complaint(World& world, const Disturbed& disturbed,
                      const Asked& asked, const Answer& answer);

/// @brief A request and its end in a line.
std::string Describe(const Asked& asked, const Answer& answer,
                     const Runs& runs);

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_VERDICT_H_
