#include "quarantine/known_good_parts.h"

#include <algorithm>

namespace meadowthread {

void KnownGoodParts::Note(std::string_view part, std::int64_t begun_unix_ms) {
  const auto found = this->places.find(part);
  if (found != this->places.end()) {
    Entry& entry = *found->second;
    entry.begun_unix_ms = std::max(entry.begun_unix_ms, begun_unix_ms);
    this->entries.splice(this->entries.begin(), this->entries, found->second);
    return;
  }
  this->entries.push_front({std::string(part), begun_unix_ms});
  this->places[std::string(part)] = this->entries.begin();
  if (this->entries.size() > this->capacity) {
    this->places.erase(this->entries.back().part);
    this->entries.pop_back();
  }
}

std::int64_t KnownGoodParts::LastBegunMs(std::string_view part) const {
  const auto found = this->places.find(part);
  return found == this->places.end() ? 0 : found->second->begun_unix_ms;
}

}  // namespace meadowthread
