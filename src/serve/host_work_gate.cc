#include "serve/host_work_gate.h"

#include <algorithm>

#include "base/error.h"

namespace meadowthread {
namespace {

// Callers are told to retry after this time, by which the load balancer has
// removed this host from its rotation.
constexpr std::int64_t kRetryAfterMs = 1000;
// The exchange rounds reach every reachable peer within this time.
constexpr std::int64_t kPeerCatchUpMs = 3000;

absl::Status WorkRejected(ErrorId id, std::string_view what) {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = Outcome::kNotRun;
  detail.step = "host";
  detail.retry_after_ms = kRetryAfterMs;
  return MakeError(absl::StatusCode::kUnavailable, detail, what);
}

}  // namespace

HostWorkGate::HostWorkGate(const HostWorkGateDependencies& dependencies)
    : dependencies(dependencies),
      marks(dependencies.view),
      zones(dependencies.view, kEmptiedZonesKind) {}

absl::Status HostWorkGate::MayTakeWork() const {
  if (this->closed) {
    return WorkRejected(ErrorId::kHostLeaving, "this host is stopping");
  }
  if (!this->HasCurrentConfiguration()) {
    return WorkRejected(ErrorId::kHostNotReady,
                        "this host has not received its configuration yet");
  }
  if (this->Mark().mark != HostMark::kLive) {
    return WorkRejected(ErrorId::kHostLeaving,
                        "this host is marked as leaving");
  }
  if (this->IsIsolated()) {
    return WorkRejected(
        ErrorId::kHostNotReady,
        "this host can reach neither the platform nor any peer");
  }
  return absl::OkStatus();
}

absl::Status HostWorkGate::BeginWork(std::string_view workspace) {
  return this->dependencies.begin_work(workspace);
}

void HostWorkGate::EndWork(std::string_view workspace) {
  this->dependencies.end_work(workspace);
}

bool HostWorkGate::IsMarked(std::string_view host) const {
  const HostEntry* entry = this->dependencies.hosts.Find(host);
  return this->marks.MarkOf(host).mark != HostMark::kLive ||
         (entry != nullptr &&
          (entry->leaving || this->IsInEmptiedZone(*entry)));
}

// Entry hosts of an emptied zone continue to serve: the requests that they
// accept run on engines in other zones.
bool HostWorkGate::IsInEmptiedZone(const HostEntry& entry) const {
  return entry.role != HostRole::kEntry &&
         this->zones.MarkOf(entry.zone).mark != HostMark::kLive;
}

std::vector<std::string> HostWorkGate::LiveEntryHosts() const {
  std::vector<std::string> names;
  for (const HostEntry* entry :
       this->dependencies.hosts.OfRole(HostRole::kEntry)) {
    if (!this->IsMarked(entry->name)) {
      names.push_back(entry->name);
    }
  }
  return names;
}

MarkDocument HostWorkGate::Mark() const {
  MarkDocument mark = this->marks.MarkOf(this->dependencies.host);
  const HostEntry* entry =
      this->dependencies.hosts.Find(this->dependencies.host);
  if (mark.mark == HostMark::kLive && entry != nullptr && entry->leaving) {
    mark.mark = HostMark::kLeaving;
    mark.set_by = "host-list";
  }
  return mark;
}

std::int64_t HostWorkGate::ViewAgeMs() const {
  std::int64_t oldest = 0;
  for (const ViewDigest& digest : this->dependencies.view.Digests()) {
    if (digest.confirmed.by.empty()) {
      return -1;
    }
    oldest = std::max(
        oldest, this->dependencies.clock.WallMs() - digest.confirmed.unix_ms);
  }
  return oldest;
}

// A read of the platform made after this process started includes every change
// accepted before the start. While the platform is down, this host has only the
// copies of its peers, which may differ: the first peer to answer may have an
// older configuration than the previous process of this host had in force. So
// this host first waits for `kPeerCatchUpMs`, to hear from all reachable peers.
bool HostWorkGate::HasCurrentConfiguration() const {
  const std::int64_t age = this->ViewAgeMs();
  if (age < 0) {
    return false;
  }
  const std::int64_t up =
      this->dependencies.clock.WallMs() - this->dependencies.started_unix_ms;
  return age <= up || up >= kPeerCatchUpMs;
}

// While peers answer, every accepted change reaches this host: no change is
// accepted while the platform is down, and a change accepted just before the
// outage is passed on by the host or command-line tool that saw it. A host that
// reaches neither the platform nor a peer cannot know which changes it missed.
// Other hosts can serve in its place.
bool HostWorkGate::IsIsolated() const {
  if (this->ViewAgeMs() <= this->dependencies.stale_limit_ms) {
    return false;
  }
  const bool alone =
      this->dependencies.hosts.OfRole(HostRole::kEntry).size() <= 1;
  if (alone) {
    return false;
  }
  return this->dependencies.peers_alive() == 0;
}

}  // namespace meadowthread
