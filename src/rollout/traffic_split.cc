#include "rollout/traffic_split.h"

#include <string>

namespace meadowthread {

bool TrafficSplit::TakeShare(std::string_view route, double share) {
  auto found = this->credits.find(route);
  if (found == this->credits.end()) {
    std::uniform_real_distribution<> begin(0.0, 1.0);
    found =
        this->credits.emplace(std::string(route), begin(this->random)).first;
  }
  double& credit = found->second;
  credit += share;
  if (credit < 1.0) {
    return false;
  }
  credit -= 1.0;
  return true;
}

}  // namespace meadowthread
