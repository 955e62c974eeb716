#include "serve/ownership_participant.h"

#include <algorithm>

#include "base/error.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"
#include "placement/ownership_mover.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kTickMs = 500;
// The status object is rewritten at this interval to detect that it was
// removed, as movers do not wait for hosts without a status object. With 350
// hosts, this makes 12 writes per second.
constexpr std::int64_t kRewriteMs = 30'000;

OwnershipSettings MakeOwnershipSettings(const DeploymentSettings& half) {
  OwnershipSettings settings;
  settings.deployment = half.name;
  settings.default_owner = half.default_owner;
  settings.has_other_deployment = !half.addresses.empty();
  for (const DeploymentAddress& address : half.addresses) {
    if (address.half == half.default_owner) {
      settings.default_address = address.url;
    }
  }
  return settings;
}

}  // namespace

OwnershipParticipant::OwnershipParticipant(
    const Settings& settings, std::int64_t incarnation, const Clock& clock,
    Scheduler& scheduler, ObjectStore& store, ReplicatedView& view)
    : host(settings.host.name),
      has_other_deployment(!settings.half.addresses.empty()),
      incarnation(incarnation),
      clock(clock),
      scheduler(scheduler),
      store(store),
      view(view),
      ownership(MakeOwnershipSettings(settings.half), clock),
      tracker(this->ownership) {
  view.AddListener(
      [this](const ViewChange& change) { this->OnViewChange(change); });
}

void OwnershipParticipant::Start() { this->Tick(); }

void OwnershipParticipant::OnViewChange(const ViewChange& change) {
  if (change.kind != kOwnershipKind) {
    return;
  }
  for (const StoredObject& object : change.items) {
    this->ownership.Apply(object);
  }
}

void OwnershipParticipant::Tick() {
  if (this->leaving) {
    return;
  }
  this->ApplyConfirmation();
  const std::string report = EncodeDrainReport(this->tracker.Report());
  const bool due = report != this->written_report ||
                   this->clock.MonotonicMs() - this->written_ms >= kRewriteMs;
  if (due && !this->writing) {
    this->WriteStatus(report);
  }
  this->scheduler.After(kTickMs, this->life.Guarded([this] { this->Tick(); }));
}

// A read of the ownership objects counts only if it was made after this host's
// status object was written. Such a read includes every mark that a mover made
// before the write. A mover that makes a mark later finds the status object
// when it lists them, and waits for this host.
void OwnershipParticipant::ApplyConfirmation() {
  const Confirmation confirmed = this->view.Digest(kOwnershipKind).confirmed;
  if (confirmed.by.empty() || this->registered_wall_ms == 0) {
    return;
  }
  // If another host made the read, its wall clock may be ahead by up to the
  // skew that the view tolerates.
  const std::int64_t skew = confirmed.by == this->host ? 0 : kMaxClockSkewMs;
  const std::int64_t read_wall_ms = confirmed.unix_ms - skew;
  if (read_wall_ms < this->registered_wall_ms) {
    return;
  }
  const std::int64_t age = this->clock.WallMs() - read_wall_ms;
  this->ownership.ConfirmReadSince(this->clock.MonotonicMs() -
                                   std::max<std::int64_t>(0, age));
}

void OwnershipParticipant::WriteStatus(const std::string& report) {
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

void OwnershipParticipant::OnWritten(
    const absl::StatusOr<std::int64_t>& version, const std::string& report) {
  this->writing = false;
  if (!version.ok()) {
    // The stored object was written by an earlier process of this host, or by
    // this process if the answer to that write was lost.
    this->ReadOwnStatus();
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

void OwnershipParticipant::ReadOwnStatus() {
  this->writing = true;
  this->store.Get(
      kStatusKind, this->host,
      this->life.Guarded([this](const absl::StatusOr<StoredObject>& object) {
        this->writing = false;
        this->OnOwnStatusRead(object);
      }));
}

// If the status object was removed, or written by another process of this host,
// movers may not wait for this process. So it starts no new work until it has
// written its status object again.
void OwnershipParticipant::OnOwnStatusRead(
    const absl::StatusOr<StoredObject>& object) {
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

void OwnershipParticipant::Unregister() {
  this->registered_wall_ms = 0;
  this->written_report.clear();
  this->ownership.SetUnregistered();
}

void OwnershipParticipant::Leave(const std::function<void()>& done) {
  this->leaving = true;
  if (this->status_version == 0) {
    done();
    return;
  }
  this->store.Delete(kStatusKind, this->host, this->status_version,
                     [done](const absl::StatusOr<std::int64_t>&) { done(); });
}

absl::Status OwnershipParticipant::BeginWork(std::string_view workspace) {
  if (!this->has_other_deployment) {
    return absl::OkStatus();
  }
  return this->tracker.Begin({OwnedKind::kWorkspace, std::string(workspace)});
}

void OwnershipParticipant::EndWork(std::string_view workspace) {
  if (this->has_other_deployment) {
    this->tracker.End({OwnedKind::kWorkspace, std::string(workspace)});
  }
}

bool OwnershipParticipant::MayUseEngine(std::string_view engine) const {
  if (!this->has_other_deployment) {
    return true;
  }
  return this->ownership.Lookup({OwnedKind::kEngine, std::string(engine)})
             .verdict == OwnershipVerdict::kOurs;
}

}  // namespace meadowthread
