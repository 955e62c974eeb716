#include "serve/gone_hosts.h"

#include <algorithm>
#include <set>
#include <utility>

namespace meadowthread {

GoneHosts::GoneHosts(std::string_view self, const Clock& clock)
    : self(self), clock(clock) {}

void GoneHosts::SetKnown(const std::vector<EntryHost>& entries) {
  std::map<std::string, Known, std::less<>> now;
  for (const EntryHost& entry : entries) {
    const auto before = this->known.find(entry.name);
    Known host = before == this->known.end()
                     ? Known{"", this->clock.MonotonicMs(), false}
                     : before->second;
    host.zone = entry.zone;
    now.emplace(entry.name, std::move(host));
  }
  this->known = std::move(now);
}

void GoneHosts::NoteHeard(std::string_view host) {
  const auto found = this->known.find(host);
  if (found != this->known.end()) {
    found->second.heard_ms = this->clock.MonotonicMs();
    found->second.heard = true;
  }
}

bool GoneHosts::IsHeardNow(const Known& host) const {
  return host.heard && this->clock.MonotonicMs() - host.heard_ms <= kHeardMs;
}

std::vector<std::string> GoneHosts::ToRemove() const {
  std::set<std::string_view> zones_heard;
  for (const auto& [name, host] : this->known) {
    if (name == this->self || !this->IsHeardNow(host)) {
      continue;
    }
    if (name < this->self) {
      return {};  // it has the duty
    }
    zones_heard.insert(host.zone);
  }
  // A host that hears nobody can't tell who is gone.
  const auto own = this->known.find(this->self);
  if (!zones_heard.empty() && own != this->known.end()) {
    zones_heard.insert(own->second.zone);
  }
  std::vector<std::string> gone;
  for (const auto& [name, host] : this->known) {
    const std::int64_t silent_ms = this->clock.MonotonicMs() - host.heard_ms;
    if (name != this->self && silent_ms >= kSilentMs &&
        zones_heard.contains(host.zone)) {
      gone.push_back(name);
    }
  }
  return gone;
}

}  // namespace meadowthread
