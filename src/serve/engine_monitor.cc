#include "serve/engine_monitor.h"

#include <algorithm>
#include <utility>

namespace meadowthread {
namespace {

// Consecutive failed polls after which an engine counts as stalled. A single
// lost report does not mean that the engine is dead.
constexpr int kFailuresToStall = 2;
constexpr std::int64_t kMaxPeriodFactor = 8;

}  // namespace

EngineMonitor::EngineMonitor(const EngineMonitorDependencies& dependencies)
    : dependencies(dependencies) {}

void EngineMonitor::Start() {
  this->dependencies.hosts.AddListener([this] { this->Refresh(); });
  this->Refresh();
}

void EngineMonitor::Refresh() {
  const std::int64_t now = this->dependencies.clock.WallMs();
  for (auto& [name, state] : this->engines) {
    state.listed = false;
  }
  for (const HostEntry* entry :
       this->dependencies.hosts.OfRole(HostRole::kEngine)) {
    EngineListing listing;
    listing.engine = entry->name;
    listing.zone = entry->zone;
    listing.leaving =
        entry->leaving || !this->dependencies.may_use(entry->name);
    this->dependencies.fleet.SetEngine(listing, now);
    MonitoredEngine& state = this->engines[entry->name];
    state.listed = true;
    if (!state.polling) {
      state.polling = true;
      // A random first delay keeps hosts that start together from polling at
      // the same moment.
      this->SchedulePoll(
          entry->name,
          static_cast<std::int64_t>(
              this->dependencies.random() %
              static_cast<std::uint64_t>(this->dependencies.period_ms)));
    }
  }
  for (const auto& [name, state] : this->engines) {
    if (!state.listed) {
      this->dependencies.fleet.RemoveEngine(name);
    }
  }
  std::erase_if(this->engines, [](const auto& entry) {
    return !entry.second.listed && !entry.second.polling;
  });
}

void EngineMonitor::SchedulePoll(const std::string& engine,
                                 std::int64_t delay_ms) {
  this->dependencies.scheduler.After(delay_ms,
                                     [this, engine] { this->Poll(engine); });
}

void EngineMonitor::Poll(const std::string& engine) {
  const auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    return;
  }
  const std::optional<EngineAddress> address = this->AddressOf(engine);
  if (!found->second.listed || !address.has_value()) {
    found->second.polling = false;
    return;
  }
  this->dependencies.client.ReadLoad(
      *address, [this, engine](const absl::StatusOr<LoadReport>& report) {
        this->OnLoadReport(engine, report);
      });
}

void EngineMonitor::OnLoadReport(const std::string& engine,
                                 const absl::StatusOr<LoadReport>& report) {
  const auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    return;
  }
  MonitoredEngine& state = found->second;
  const std::int64_t now = this->dependencies.clock.WallMs();
  if (report.ok()) {
    state.failures = 0;
    state.report = *report;
    this->dependencies.fleet.ApplyReport(*report, now);
    const EngineView* view = this->dependencies.fleet.Find(engine);
    if (view != nullptr && view->stalled) {
      this->dependencies.fleet.EngineBack(engine, now);
    }
    if (this->on_report) {
      this->on_report(*report);
    }
  } else if (++state.failures == kFailuresToStall) {
    this->dependencies.fleet.EngineStalled(engine, now);
  }
  const std::int64_t factor =
      std::min<std::int64_t>(kMaxPeriodFactor, 1 + state.failures);
  this->SchedulePoll(engine, this->dependencies.period_ms * factor);
}

std::optional<EngineAddress> EngineMonitor::AddressOf(
    std::string_view engine) const {
  const HostEntry* entry = this->dependencies.hosts.Find(engine);
  if (entry == nullptr || entry->role != HostRole::kEngine) {
    return std::nullopt;
  }
  return EngineAddress{entry->name, entry->BaseUrl()};
}

int EngineMonitor::UsableEngines() const {
  int usable = 0;
  for (const auto& [name, state] : this->engines) {
    const EngineView* view = this->dependencies.fleet.Find(name);
    usable += state.report.has_value() && view != nullptr && view->Usable();
  }
  return usable;
}

const LoadReport* EngineMonitor::ReportOf(std::string_view engine) const {
  const auto found = this->engines.find(engine);
  return found == this->engines.end() || !found->second.report.has_value()
             ? nullptr
             : &*found->second.report;
}

}  // namespace meadowthread
