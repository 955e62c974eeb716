#include "soak/world.h"

#include "absl/strings/str_cat.h"

namespace meadowthread::soak {

void World::HealLinks() {
  for (const auto* const links :
       {&this->caller_links, &this->store_links, &this->engine_links}) {
    for (const auto& link : *links) {
      link->Heal();
    }
  }
}

void World::KeepLog(int n) {
  this->old_logs[absl::StrCat("host-", n)] += this->Host(n).Log();
}

std::map<std::string, std::string> World::Logs() {
  std::map<std::string, std::string> logs = this->old_logs;
  for (int n = 0; n < kHosts; ++n) {
    logs[absl::StrCat("host-", n)] += this->Host(n).Log();
  }
  return logs;
}

}  // namespace meadowthread::soak
