#include "forwarding/path_monitor.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// Failures further apart than this are taken for servers that are down one
// after the other.
constexpr std::int64_t kWindowMs = 2'000;
// Servers that must have failed: one or two may be down at the same moment.
constexpr std::size_t kMostToLose = 3;
constexpr std::size_t kLeastToLose = 2;
// A server may reset a single connection.
constexpr int kResetsToLose = 2;
// A server that was reached within this time is taken to be reachable.
constexpr std::int64_t kReachedMs = 10'000;
// A path that is lost again so soon after it was back lets some connections
// through only: the next return takes more of them.
constexpr std::int64_t kRelapseMs = 10'000;
constexpr int kMaxRelapses = 3;
// Servers whose paths must be back, one after the other, for all to count as
// back.
constexpr std::size_t kBackTogether = 3;
// Other hosts are not asked about a server that is down for this long, doubled
// each time.
constexpr std::int64_t kDownMs = 2'000;
constexpr int kMaxDoublings = 3;

}  // namespace

std::size_t PathMonitor::CountToLose() const {
  return std::clamp(this->servers, kLeastToLose, kMostToLose);
}

////////////
// Evidence
////////////

void PathMonitor::NoteConnected(std::string_view address) {
  const bool was_unreachable = this->IsLost(address);
  this->failed_ms.clear();
  this->SetLost(false, address);
  Path& path = this->paths[std::string(address)];
  path.reached_ms = this->clock.MonotonicMs();
  path.suspect = false;
  path.failures = 0;
  path.resets = 0;
  path.times_down = 0;
  path.down_until_ms = 0;
  ++path.successes;
  if (path.lost && path.successes >= this->SuccessesNeeded()) {
    this->SetPathLost(address, &path, false, "connected");
  }
  if (was_unreachable) {
    this->NoteRecovering(address);
  }
}

void PathMonitor::NoteConnectFailed(std::string_view address) {
  Path& path = this->paths[std::string(address)];
  path.suspect = false;
  this->CountFailure(address, &path);
}

void PathMonitor::NoteReset(std::string_view address) {
  Path& path = this->paths[std::string(address)];
  ++path.resets;
  this->CountFailure(address, &path);
  if (path.resets >= kResetsToLose && !this->IsDown(path)) {
    this->SetPathLost(address, &path, true, "reset_again");
  }
}

void PathMonitor::CountFailure(std::string_view address, Path* path) {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  path->reached_ms = 0;
  path->successes = 0;
  ++path->failures;
  this->recovering.clear();
  absl::erase_if(this->failed_ms, [now_ms](const auto& entry) {
    return now_ms - entry.second > kWindowMs;
  });
  this->failed_ms[std::string(address)] = now_ms;
  if (this->failed_ms.size() < this->CountToLose()) {
    return;
  }
  for (const auto& [failed, at_ms] : this->failed_ms) {
    Path& one = this->paths.at(failed);
    if (!this->IsDown(one)) {
      this->SetPathLost(failed, &one, true, "with_others");
    }
  }
  this->SetLost(true, address);
}

void PathMonitor::NoteSuspect(std::string_view address) {
  this->paths[std::string(address)].suspect = true;
}

// What another host reaches was not tried here while all paths count as lost.
void PathMonitor::NoteReachedElsewhere(std::string_view address) {
  Path& path = this->paths[std::string(address)];
  path.times_down = 0;
  path.down_until_ms = 0;
  if (path.failures > 0) {
    this->SetPathLost(address, &path, true, "reached_by_another_host");
  }
}

void PathMonitor::NoteDownElsewhere(std::string_view address) {
  Path& path = this->paths[std::string(address)];
  const int doublings = std::min(path.times_down, kMaxDoublings);
  path.down_until_ms = this->clock.MonotonicMs() + (kDownMs << doublings);
  ++path.times_down;
  this->SetPathLost(address, &path, false, "down_for_other_hosts");
  path.changed_ms = 0;  // it was not back
}

void PathMonitor::Forget(std::string_view address) {
  const auto found = this->paths.find(address);
  if (found != this->paths.end()) {
    this->paths_lost -= found->second.lost ? 1 : 0;
    this->paths.erase(found);
  }
  this->failed_ms.erase(address);
  this->recovering.erase(address);
}

///////////
// Changes
///////////

void PathMonitor::SetLost(bool is_lost, std::string_view address) {
  if (this->lost == is_lost) {
    return;
  }
  this->lost = is_lost;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::int64_t before_ms = now_ms - this->changed_ms;
  this->changed_ms = now_ms;
  LogLine(is_lost ? "path-lost" : "path-back")
      .Add("servers_failed", this->failed_ms.size())
      .Add("servers", this->servers)
      .Add("server_paths_lost", this->paths_lost)
      .Add("by", address)
      .Add("after_ms", before_ms)
      .WriteImportant();
  if (this->listener) {
    this->listener(is_lost);
  }
}

void PathMonitor::SetPathLost(std::string_view address, Path* path,
                              bool is_lost, std::string_view why) {
  if (path->lost == is_lost) {
    return;
  }
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (is_lost) {
    const bool is_relapse =
        path->changed_ms > 0 && now_ms - path->changed_ms < kRelapseMs;
    if (is_relapse) {
      this->NoteRelapse();
    }
    this->lost_since_ms = this->paths_lost == 0 ? now_ms : this->lost_since_ms;
    ++this->paths_lost;
  } else {
    --this->paths_lost;
    path->changed_ms = now_ms;
  }
  path->lost = is_lost;
  path->successes = 0;
  LogLine("server-path")
      .Add("server", address)
      .Add("lost", is_lost ? "yes" : "no")
      .Add("why", why)
      .Add("connections_needed", this->SuccessesNeeded())
      .WriteImportant();
}

// When a cut ends, all paths are back at once, and few of them are probed at a
// time.
void PathMonitor::NoteRecovering(std::string_view address) {
  this->recovering[std::string(address)] = true;
  const std::size_t needed =
      kBackTogether * static_cast<std::size_t>(this->SuccessesNeeded());
  if (this->recovering.size() < needed) {
    return;
  }
  for (auto& [server, path] : this->paths) {
    this->SetPathLost(server, &path, false, "others_are_back");
  }
  this->recovering.clear();
}

void PathMonitor::NoteRelapse() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (now_ms - this->relapsed_ms >= kRelapseMs) {
    this->relapses = 0;
  }
  this->relapsed_ms = now_ms;
  this->relapses = std::min(this->relapses + 1, kMaxRelapses);
}

int PathMonitor::SuccessesNeeded() const {
  const bool is_recent =
      this->clock.MonotonicMs() - this->relapsed_ms < kRelapseMs;
  return is_recent ? 1 << this->relapses : 1;
}

///////////
// Queries
///////////

bool PathMonitor::IsDown(const Path& path) const {
  return path.down_until_ms > this->clock.MonotonicMs();
}

// Connections from before the first path was lost say nothing.
bool PathMonitor::WasReachedOfLate(const Path& path) const {
  const std::int64_t since_ms =
      std::max(this->lost_since_ms, this->clock.MonotonicMs() - kReachedMs);
  return path.reached_ms > 0 && path.reached_ms >= since_ms;
}

bool PathMonitor::PresumesLost() const {
  if (this->lost || this->paths_lost < this->CountToLose()) {
    return this->lost;
  }
  const auto reached = static_cast<std::size_t>(std::count_if(
      this->paths.begin(), this->paths.end(), [this](const auto& entry) {
        return !entry.second.lost && this->WasReachedOfLate(entry.second);
      }));
  return this->paths_lost > reached;
}

bool PathMonitor::IsLost(std::string_view address) const {
  if (!this->HasLostPath()) {
    return false;
  }
  const auto found = this->paths.find(address);
  if (found != this->paths.end()) {
    const Path& path = found->second;
    if (path.lost || this->IsDown(path) || this->WasReachedOfLate(path)) {
      return path.lost;
    }
  }
  return this->PresumesLost();
}

bool PathMonitor::IsPathLost(std::string_view address) const {
  const auto found = this->paths.find(address);
  return found != this->paths.end() && found->second.lost;
}

bool PathMonitor::MayAskElsewhere(std::string_view address) const {
  const auto found = this->paths.find(address);
  return found == this->paths.end() || !this->IsDown(found->second);
}

std::vector<std::string> PathMonitor::TakeProbes(std::size_t count) {
  std::vector<std::pair<std::int64_t, std::string>> due;
  for (const auto& [server, path] : this->paths) {
    if (path.lost || path.suspect) {
      due.emplace_back(path.suspect ? 0 : path.probed_ms, server);
    }
  }
  count = std::min(count, due.size());
  std::partial_sort(
      due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end());
  std::vector<std::string> probes;
  for (std::size_t n = 0; n < count; ++n) {
    this->paths.at(due[n].second).probed_ms = this->clock.MonotonicMs();
    probes.push_back(std::move(due[n].second));
  }
  return probes;
}

void NotePath(PathMonitor& monitor, std::string_view address,
              const HttpCallResult& end, bool has_head) {
  if (!end.request_may_have_left) {
    if (!end.status.ok()) {
      monitor.NoteConnectFailed(address);
    }
  } else if (has_head) {
    if (end.new_connection) {
      monitor.NoteConnected(address);
    }
  } else if (end.new_connection) {
    monitor.NoteReset(address);
  } else {
    monitor.NoteSuspect(address);
  }
}

}  // namespace meadowthread
