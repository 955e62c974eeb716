#include "placement/ownership_mover.h"

#include <algorithm>

#include "base/error.h"
#include "base/log_line.h"
#include "placement/drain_tracker.h"

namespace meadowthread {
namespace {}  // namespace

OwnershipMover::OwnershipMover(const OwnershipMoveRequest& request,
                               const OwnershipMoverSettings& settings,
                               ObjectStore& store)
    : request(request),
      settings(settings),
      store(store),
      object_name(OwnershipObjectName(request.id)) {}

void OwnershipMover::Tick() {
  const bool ended = this->progress.phase == OwnershipMovePhase::kDone ||
                     this->progress.phase == OwnershipMovePhase::kConflict;
  if (this->call_in_flight || ended) {
    return;
  }
  this->call_in_flight = true;
  this->store.Get(
      kOwnershipKind, this->object_name,
      this->life.Guarded([this](const absl::StatusOr<StoredObject>& answer) {
        this->call_in_flight = false;
        this->OnObject(answer);
      }));
}

void OwnershipMover::OnObject(const absl::StatusOr<StoredObject>& answer) {
  if (answer.ok()) {
    const absl::StatusOr<OwnershipDocument> document =
        ParseOwnership(answer->value);
    if (document.ok()) {
      this->OnDocument(*document, answer->version);
    } else {
      this->Conflict("the ownership object cannot be read");
    }
    return;
  }
  if (DetailOf(answer.status()).id != ErrorId::kNotFound) {
    this->progress.last_error = answer.status();
    return;
  }
  OwnershipDocument absent;
  absent.owner = this->settings.default_owner;
  absent.address = this->settings.default_address;
  this->OnDocument(absent, 0);
}

void OwnershipMover::OnDocument(const OwnershipDocument& document,
                                std::int64_t version) {
  this->progress.epoch = document.epoch;
  if (document.state == OwnershipState::kDraining) {
    if (document.next_owner != this->request.next_owner) {
      this->Conflict("it is being moved to another deployment");
      return;
    }
    this->OnDraining(document, version);
    return;
  }
  if (document.owner == this->request.next_owner) {
    this->progress.phase = OwnershipMovePhase::kDone;
    this->progress.waiting_for.clear();
    return;
  }
  if (this->progress.phase == OwnershipMovePhase::kDraining) {
    this->Conflict("the move was cancelled");
    return;
  }
  this->MarkDraining(document, version);
}

void OwnershipMover::MarkDraining(const OwnershipDocument& from,
                                  std::int64_t version) {
  OwnershipDocument next = from;
  next.state = OwnershipState::kDraining;
  next.next_owner = this->request.next_owner;
  next.next_address = this->request.next_address;
  next.operation = this->request.operation;
  this->Put(next, version);
}

void OwnershipMover::OnDraining(const OwnershipDocument& document,
                                std::int64_t version) {
  this->progress.phase = OwnershipMovePhase::kDraining;
  // The hosts are listed only after the draining state has been read back. A
  // host that registers later reads that state before it starts any work.
  this->call_in_flight = true;
  this->store.List(
      kStatusKind, 0,
      this->life.Guarded(
          [this, document, version](const absl::StatusOr<ObjectList>& list) {
            this->call_in_flight = false;
            this->OnStatuses(document, version, list);
          }));
}

void OwnershipMover::OnStatuses(const OwnershipDocument& document,
                                std::int64_t version,
                                const absl::StatusOr<ObjectList>& list) {
  if (!list.ok()) {
    this->progress.last_error = list.status();
    return;
  }
  this->progress.waiting_for.clear();
  for (const StoredObject& status : list->items) {
    if (!this->IsDrained(status, document.owner, version) &&
        !this->IsDeclaredDead(status.name)) {
      this->progress.waiting_for.push_back(status.name);
    }
  }
  if (this->progress.waiting_for.empty()) {
    this->ChangeOwner(document, version);
  }
}

bool OwnershipMover::IsDrained(const StoredObject& status,
                               std::string_view deployment,
                               std::int64_t version) const {
  const absl::StatusOr<DrainReport> report = ParseDrainReport(status.value);
  if (!report.ok()) {
    return false;  // may be a host of the owner with work in flight
  }
  if (report->deployment != deployment) {
    return true;
  }
  const DrainConfirmation wanted{this->object_name, version};
  return std::find(report->drained.begin(), report->drained.end(), wanted) !=
         report->drained.end();
}

// A host that does not answer may be partitioned and still working, so only an
// operator can declare it dead.
bool OwnershipMover::IsDeclaredDead(std::string_view host) const {
  const std::vector<std::string>& dead_hosts = this->request.dead_hosts;
  return std::find(dead_hosts.begin(), dead_hosts.end(), host) !=
         dead_hosts.end();
}

void OwnershipMover::ChangeOwner(const OwnershipDocument& from,
                                 std::int64_t version) {
  OwnershipDocument next;
  next.owner = from.next_owner;
  next.address = from.next_address;
  next.epoch = from.epoch + 1;
  next.operation = this->request.operation;
  this->Put(next, version);
}

void OwnershipMover::Put(const OwnershipDocument& document,
                         std::int64_t version) {
  LogLine line("placement");
  line.Add("object", this->object_name).Add("epoch", document.epoch);
  line.Add("owner", document.owner).Add("next_owner", document.next_owner);
  line.Add("why",
           document.state == OwnershipState::kDraining ? "drain" : "hand_over");
  line.Write();
  this->call_in_flight = true;
  this->store.Put(
      kOwnershipKind, this->object_name, EncodeOwnership(document), version,
      this->life.Guarded([this](const absl::StatusOr<std::int64_t>& answer) {
        this->call_in_flight = false;
        this->progress.last_error = answer.status();
      }));
}

void OwnershipMover::Conflict(std::string_view reason) {
  ErrorDetail error;
  error.id = ErrorId::kStoreConflict;
  error.step = "ownership.move";
  error.peer = this->object_name;
  this->progress.phase = OwnershipMovePhase::kConflict;
  this->progress.last_error =
      MakeError(absl::StatusCode::kFailedPrecondition, error, reason);
}

}  // namespace meadowthread
