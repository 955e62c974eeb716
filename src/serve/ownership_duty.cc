#include "serve/ownership_duty.h"

#include <algorithm>

#include "base/error.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"
#include "placement/ownership_mover.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kTickMs = 500;
// Finds out whether the object still stands: a mover waits for no host without
// one. 350 hosts make 12 writes a second of it.
constexpr std::int64_t kRewriteMs = 30'000;

OwnershipSettings MakeOwnershipSettings(const HalfSettings& half) {
  OwnershipSettings settings;
  settings.deployment = half.name;
  settings.default_owner = half.default_owner;
  settings.has_other_deployment = !half.addresses.empty();
  for (const HalfAddress& address : half.addresses) {
    if (address.half == half.default_owner) {
      settings.default_address = address.url;
    }
  }
  return settings;
}

}  // namespace

OwnershipDuty::OwnershipDuty(const Settings& settings, std::int64_t incarnation,
                             const Clock& clock, Scheduler& scheduler,
                             ObjectStore& store, ReplicatedView& view)
    : host(settings.host.name),
      has_other_deployment(!settings.half.addresses.empty()),
      incarnation(incarnation),
      clock(clock),
      scheduler(scheduler),
      store(store),
      view(view),
      ownership(MakeOwnershipSettings(settings.half), clock),
      tracker(this->ownership) {
  view.AddListener([this](const ViewChange& change) { this->Follow(change); });
}

void OwnershipDuty::Start() { this->Tick(); }

void OwnershipDuty::Follow(const ViewChange& change) {
  if (change.kind != kOwnershipKind) {
    return;
  }
  for (const StoredObject& object : change.items) {
    this->ownership.Apply(object);
  }
}

void OwnershipDuty::Tick() {
  if (this->leaving) {
    return;
  }
  this->TakeConfirmation();
  const std::string report = EncodeDrainReport(this->tracker.Report());
  const bool due = report != this->written_report ||
                   this->clock.MonotonicMs() - this->written_ms >= kRewriteMs;
  if (due && !this->writing) {
    this->WriteStatus(report);
  }
  this->scheduler.After(kTickMs, this->life.Guarded([this] { this->Tick(); }));
}

// A read counts only once the status object stands: a mover that marked
// something before lists the object and waits for this host; one that marks it
// later is seen by the read.
void OwnershipDuty::TakeConfirmation() {
  const Confirmation confirmed = this->view.Digest(kOwnershipKind).confirmed;
  if (confirmed.by.empty() || this->registered_wall_ms == 0) {
    return;
  }
  // Another host's wall clock may be ahead of ours by what the view tolerates.
  const std::int64_t skew = confirmed.by == this->host ? 0 : kMaxClockSkewMs;
  const std::int64_t read_wall_ms = confirmed.unix_ms - skew;
  if (read_wall_ms < this->registered_wall_ms) {
    return;
  }
  const std::int64_t age = this->clock.WallMs() - read_wall_ms;
  this->ownership.ConfirmReadSince(this->clock.MonotonicMs() -
                                   std::max<std::int64_t>(0, age));
}

void OwnershipDuty::WriteStatus(const std::string& report) {
  this->writing = true;
  const nlohmann::json status = {
      {"host", this->host},
      {"incarnation", this->incarnation},
      {"unix_ms", this->clock.WallMs()},
      {"ownership", nlohmann::json::parse(report, nullptr, false)}};
  this->store.Put(
      kStatusKind, this->host, status.dump(), this->status_version,
      this->life.Guarded(
          [this, report](const absl::StatusOr<std::int64_t>& version) {
            this->OnWritten(version, report);
          }));
}

void OwnershipDuty::OnWritten(const absl::StatusOr<std::int64_t>& version,
                              const std::string& report) {
  this->writing = false;
  if (!version.ok()) {
    // An earlier life's object, or our own write whose answer was lost.
    this->ReadVersion();
    return;
  }
  this->status_version = *version;
  this->written_report = report;
  this->written_ms = this->clock.MonotonicMs();
  if (this->registered_wall_ms == 0) {
    this->registered_wall_ms = this->clock.WallMs();
    this->ownership.SetRegistered();
  }
}

void OwnershipDuty::ReadVersion() {
  this->writing = true;
  this->store.Get(
      kStatusKind, this->host,
      this->life.Guarded([this](const absl::StatusOr<StoredObject>& object) {
        this->writing = false;
        this->OnRead(object);
      }));
}

// Found removed or written by another life of this host, a mover may not wait
// for us: nothing new is started until our own object stands again.
void OwnershipDuty::OnRead(const absl::StatusOr<StoredObject>& object) {
  if (!object.ok()) {
    if (DetailOf(object.status()).id == ErrorId::kNotFound) {
      this->status_version = 0;
      this->Unregister();
    }
    return;
  }
  this->status_version = object->version;
  const nlohmann::json status =
      nlohmann::json::parse(object->value, nullptr, false);
  if (IntOr(status, "incarnation", 0) != this->incarnation) {
    this->Unregister();
  }
}

void OwnershipDuty::Unregister() {
  this->registered_wall_ms = 0;
  this->written_report.clear();
  this->ownership.SetUnregistered();
}

void OwnershipDuty::Leave(const std::function<void()>& done) {
  this->leaving = true;
  if (this->status_version == 0) {
    done();
    return;
  }
  this->store.Delete(kStatusKind, this->host, this->status_version,
                     [done](const absl::StatusOr<std::int64_t>&) { done(); });
}

absl::Status OwnershipDuty::BeginWork(std::string_view workspace) {
  if (!this->has_other_deployment) {
    return absl::OkStatus();
  }
  return this->tracker.Begin({OwnedKind::kWorkspace, std::string(workspace)});
}

void OwnershipDuty::EndWork(std::string_view workspace) {
  if (this->has_other_deployment) {
    this->tracker.End({OwnedKind::kWorkspace, std::string(workspace)});
  }
}

bool OwnershipDuty::MayUseEngine(std::string_view engine) const {
  if (!this->has_other_deployment) {
    return true;
  }
  return this->ownership.Lookup({OwnedKind::kEngine, std::string(engine)})
             .verdict == OwnershipVerdict::kOurs;
}

}  // namespace meadowthread
