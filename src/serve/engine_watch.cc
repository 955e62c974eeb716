#include "serve/engine_watch.h"

#include <algorithm>
#include <utility>

namespace meadowthread {
namespace {

// One lost report is no sign of a dead engine.
constexpr int kFailuresToStall = 2;
constexpr std::int64_t kMaxPeriodFactor = 8;

}  // namespace

EngineWatch::EngineWatch(const EngineWatchParts& parts) : parts(parts) {}

void EngineWatch::Start() {
  this->parts.hosts.AddListener([this] { this->Refresh(); });
  this->Refresh();
}

void EngineWatch::Refresh() {
  const std::int64_t now = this->parts.clock.WallMs();
  for (auto& [name, state] : this->watched) {
    state.listed = false;
  }
  for (const HostEntry* entry : this->parts.hosts.OfRole(HostRole::kEngine)) {
    EngineListing listing;
    listing.engine = entry->name;
    listing.zone = entry->zone;
    listing.leaving = entry->leaving || !this->parts.may_use(entry->name);
    this->parts.fleet.SetEngine(listing, now);
    Watched& state = this->watched[entry->name];
    state.listed = true;
    if (!state.reading) {
      state.reading = true;
      // Hosts that start together don't all ask at the same moment.
      this->ReadSoon(entry->name,
                     static_cast<std::int64_t>(
                         this->parts.random() %
                         static_cast<std::uint64_t>(this->parts.period_ms)));
    }
  }
  for (const auto& [name, state] : this->watched) {
    if (!state.listed) {
      this->parts.fleet.RemoveEngine(name);
    }
  }
  std::erase_if(this->watched, [](const auto& entry) {
    return !entry.second.listed && !entry.second.reading;
  });
}

void EngineWatch::ReadSoon(const std::string& engine, std::int64_t delay_ms) {
  this->parts.scheduler.After(delay_ms, [this, engine] { this->Read(engine); });
}

void EngineWatch::Read(const std::string& engine) {
  const auto found = this->watched.find(engine);
  if (found == this->watched.end()) {
    return;
  }
  const std::optional<EngineAddress> address = this->AddressOf(engine);
  if (!found->second.listed || !address.has_value()) {
    found->second.reading = false;
    return;
  }
  this->parts.client.ReadLoad(
      *address, [this, engine](const absl::StatusOr<LoadReport>& report) {
        this->Take(engine, report);
      });
}

void EngineWatch::Take(const std::string& engine,
                       const absl::StatusOr<LoadReport>& report) {
  const auto found = this->watched.find(engine);
  if (found == this->watched.end()) {
    return;
  }
  Watched& state = found->second;
  const std::int64_t now = this->parts.clock.WallMs();
  if (report.ok()) {
    state.failures = 0;
    state.report = *report;
    this->parts.fleet.ApplyReport(*report, now);
    const EngineView* view = this->parts.fleet.Find(engine);
    if (view != nullptr && view->stalled) {
      this->parts.fleet.EngineBack(engine, now);
    }
    if (this->on_report) {
      this->on_report(*report);
    }
  } else if (++state.failures == kFailuresToStall) {
    this->parts.fleet.EngineStalled(engine, now);
  }
  const std::int64_t factor =
      std::min<std::int64_t>(kMaxPeriodFactor, 1 + state.failures);
  this->ReadSoon(engine, this->parts.period_ms * factor);
}

std::optional<EngineAddress> EngineWatch::AddressOf(
    std::string_view engine) const {
  const HostEntry* entry = this->parts.hosts.Find(engine);
  if (entry == nullptr || entry->role != HostRole::kEngine) {
    return std::nullopt;
  }
  return EngineAddress{entry->name, entry->BaseUrl()};
}

int EngineWatch::UsableEngines() const {
  int usable = 0;
  for (const auto& [name, state] : this->watched) {
    const EngineView* view = this->parts.fleet.Find(name);
    usable += state.report.has_value() && view != nullptr && view->Usable();
  }
  return usable;
}

const LoadReport* EngineWatch::ReportOf(std::string_view engine) const {
  const auto found = this->watched.find(engine);
  return found == this->watched.end() || !found->second.report.has_value()
             ? nullptr
             : &*found->second.report;
}

}  // namespace meadowthread
