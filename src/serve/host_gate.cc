#include "serve/host_gate.h"

#include <algorithm>

#include "base/error.h"

namespace meadowthread {
namespace {

// The balancer has taken this host out by then.
constexpr std::int64_t kRetryAfterMs = 1000;
// In that time every reachable peer has been heard, at the exchange's rounds.
constexpr std::int64_t kLearnFromPeersMs = 3000;

absl::Status NotTaken(ErrorId id, std::string_view what) {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = Outcome::kNotRun;
  detail.step = "host";
  detail.retry_after_ms = kRetryAfterMs;
  return MakeError(absl::StatusCode::kUnavailable, detail, what);
}

}  // namespace

HostGate::HostGate(const HostGateParts& parts)
    : parts(parts), marks(parts.view), zones(parts.view, kEmptiedZonesKind) {}

absl::Status HostGate::MayTakeWork() const {
  if (this->closed) {
    return NotTaken(ErrorId::kHostLeaving, "this host is stopping");
  }
  if (!this->HasLearnt()) {
    return NotTaken(ErrorId::kHostNotReady,
                    "this host has not learnt its configuration yet");
  }
  if (this->Mark().mark != HostMark::kLive) {
    return NotTaken(ErrorId::kHostLeaving, "this host is marked to leave");
  }
  if (this->IsIsolated()) {
    return NotTaken(ErrorId::kHostNotReady,
                    "this host reaches neither the platform nor a peer");
  }
  return absl::OkStatus();
}

absl::Status HostGate::BeginWork(std::string_view workspace) {
  return this->parts.begin_work(workspace);
}

void HostGate::EndWork(std::string_view workspace) {
  this->parts.end_work(workspace);
}

bool HostGate::IsMarked(std::string_view host) const {
  const HostEntry* entry = this->parts.hosts.Find(host);
  return this->marks.MarkOf(host).mark != HostMark::kLive ||
         (entry != nullptr &&
          (entry->leaving || this->IsInEmptiedZone(*entry)));
}

// Entry hosts of an emptied zone go on serving: others run what they take.
bool HostGate::IsInEmptiedZone(const HostEntry& entry) const {
  return entry.role != HostRole::kEntry &&
         this->zones.MarkOf(entry.zone).mark != HostMark::kLive;
}

std::vector<std::string> HostGate::LiveEntryHosts() const {
  std::vector<std::string> names;
  for (const HostEntry* entry : this->parts.hosts.OfRole(HostRole::kEntry)) {
    if (!this->IsMarked(entry->name)) {
      names.push_back(entry->name);
    }
  }
  return names;
}

MarkDocument HostGate::Mark() const {
  MarkDocument mark = this->marks.MarkOf(this->parts.host);
  const HostEntry* entry = this->parts.hosts.Find(this->parts.host);
  if (mark.mark == HostMark::kLive && entry != nullptr && entry->leaving) {
    mark.mark = HostMark::kLeaving;
    mark.set_by = "host-list";
  }
  return mark;
}

std::int64_t HostGate::ViewAgeMs() const {
  std::int64_t oldest = 0;
  for (const ViewDigest& digest : this->parts.view.Digests()) {
    if (digest.confirmed.by.empty()) {
      return -1;
    }
    oldest =
        std::max(oldest, this->parts.clock.WallMs() - digest.confirmed.unix_ms);
  }
  return oldest;
}

// A read of the platform made after the start shows everything accepted before.
// While the platform is down, peers' copies may differ: the first one to answer
// may be behind what an earlier life of this host had in force, so that it
// listens for a while before it serves.
bool HostGate::HasLearnt() const {
  const std::int64_t age = this->ViewAgeMs();
  if (age < 0) {
    return false;
  }
  const std::int64_t up =
      this->parts.clock.WallMs() - this->parts.started_unix_ms;
  return age <= up || up >= kLearnFromPeersMs;
}

// With peers answering, a change accepted anywhere reaches this host: while
// the platform is down none is accepted, and one accepted just before it went
// down is told on by the host or command line that saw it. A host that hears
// neither can know nothing of what it should have learnt, and others can serve.
bool HostGate::IsIsolated() const {
  if (this->ViewAgeMs() <= this->parts.stale_limit_ms) {
    return false;
  }
  const bool alone = this->parts.hosts.OfRole(HostRole::kEntry).size() <= 1;
  if (alone) {
    return false;
  }
  return this->parts.peers_alive() == 0;
}

}  // namespace meadowthread
