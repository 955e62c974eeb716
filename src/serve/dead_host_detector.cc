#include "serve/dead_host_detector.h"

#include <algorithm>
#include <set>
#include <utility>

namespace meadowthread {

DeadHostDetector::DeadHostDetector(std::string_view self, const Clock& clock)
    : self(self), clock(clock) {}

void DeadHostDetector::SetKnown(const std::vector<EntryHost>& entries) {
  std::map<std::string, KnownHost, std::less<>> now;
  for (const EntryHost& entry : entries) {
    const auto before = this->known.find(entry.name);
    KnownHost host = before == this->known.end()
                         ? KnownHost{"", this->clock.MonotonicMs(), false}
                         : before->second;
    host.zone = entry.zone;
    now.emplace(entry.name, std::move(host));
  }
  this->known = std::move(now);
}

void DeadHostDetector::NoteHeard(std::string_view host) {
  const auto found = this->known.find(host);
  if (found != this->known.end()) {
    found->second.heard_ms = this->clock.MonotonicMs();
    found->second.heard = true;
  }
}

bool DeadHostDetector::WasHeardRecently(const KnownHost& host) const {
  return host.heard && this->clock.MonotonicMs() - host.heard_ms <= kRecentMs;
}

std::vector<std::string> DeadHostDetector::HostsToRemove() const {
  std::set<std::string_view> zones_heard;
  for (const auto& [name, host] : this->known) {
    if (name == this->self || !this->WasHeardRecently(host)) {
      continue;
    }
    if (name < this->self) {
      return {};  // that host removes the entries
    }
    zones_heard.insert(host.zone);
  }
  // This host's own zone counts as heard only if this host hears at least one
  // other host. If it hears none, it may itself be disconnected and cannot tell
  // which hosts are dead.
  const auto own = this->known.find(this->self);
  if (!zones_heard.empty() && own != this->known.end()) {
    zones_heard.insert(own->second.zone);
  }
  std::vector<std::string> gone;
  for (const auto& [name, host] : this->known) {
    const std::int64_t silent_ms = this->clock.MonotonicMs() - host.heard_ms;
    if (name != this->self && silent_ms >= kDeadAfterMs &&
        zones_heard.contains(host.zone)) {
      gone.push_back(name);
    }
  }
  return gone;
}

}  // namespace meadowthread
