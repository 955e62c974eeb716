#include "forwarding/path_monitor.h"

#include <algorithm>

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

}  // namespace

std::size_t PathMonitor::CountToLose() const {
  return std::clamp(this->servers, kLeastToLose, kMostToLose);
}

void PathMonitor::NoteConnected(std::string_view address) {
  this->failed_ms.clear();
  this->SetLost(false, address);
}

void PathMonitor::NoteConnectFailed(std::string_view address) {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  absl::erase_if(this->failed_ms, [now_ms](const auto& entry) {
    return now_ms - entry.second > kWindowMs;
  });
  this->failed_ms[std::string(address)] = now_ms;
  if (this->failed_ms.size() >= this->CountToLose()) {
    this->SetLost(true, address);
  }
}

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
      .Add("by", address)
      .Add("after_ms", before_ms)
      .WriteImportant();
  if (this->listener) {
    this->listener(is_lost);
  }
}

}  // namespace meadowthread
