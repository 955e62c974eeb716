#include "placement/ownership_mover.h"

#include <algorithm>

#include "base/error.h"
#include "base/log_line.h"
#include "placement/drain_tracker.h"

namespace meadowthread {
namespace {}  // namespace

OwnershipMover::OwnershipMover(const MoveRequest& what,
                               const MoverSettings& with, ObjectStore& over)
    : request(what),
      settings(with),
      store(over),
      object_name(OwnershipObjectName(what.id)) {}

void OwnershipMover::Tick() {
  const bool over = this->progress.phase == MovePhase::kDone ||
                    this->progress.phase == MovePhase::kConflict;
  if (this->busy || over) {
    return;
  }
  this->busy = true;
  this->store.Get(
      kOwnershipKind, this->object_name,
      this->life.Guarded([this](const absl::StatusOr<StoredObject>& answer) {
        this->busy = false;
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
      this->Conflict("it is being handed to another half");
      return;
    }
    this->OnDraining(document, version);
    return;
  }
  if (document.owner == this->request.next_owner) {
    this->progress.phase = MovePhase::kDone;
    this->progress.waiting_for.clear();
    return;
  }
  if (this->progress.phase == MovePhase::kDraining) {
    this->Conflict("the move was called off");
    return;
  }
  this->Mark(document, version);
}

void OwnershipMover::Mark(const OwnershipDocument& from, std::int64_t version) {
  OwnershipDocument next = from;
  next.state = OwnershipState::kDraining;
  next.next_owner = this->request.next_owner;
  next.next_address = this->request.next_address;
  next.operation = this->request.operation;
  this->Put(next, version);
}

void OwnershipMover::OnDraining(const OwnershipDocument& document,
                                std::int64_t version) {
  this->progress.phase = MovePhase::kDraining;
  // Listed only now that the mark has been seen to stand: a host that is not
  // among them reads the mark before it starts any work.
  this->busy = true;
  this->store.List(
      kStatusKind, 0,
      this->life.Guarded(
          [this, document, version](const absl::StatusOr<ObjectList>& list) {
            this->busy = false;
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
        !this->IsGone(status.name)) {
      this->progress.waiting_for.push_back(status.name);
    }
  }
  if (this->progress.waiting_for.empty()) {
    this->Flip(document, version);
  }
}

bool OwnershipMover::IsDrained(const StoredObject& status,
                               std::string_view half,
                               std::int64_t version) const {
  const absl::StatusOr<DrainReport> report = ParseDrainReport(status.value);
  if (!report.ok()) {
    return false;  // it may be a host of that half with work in flight
  }
  if (report->half != half) {
    return true;
  }
  const DrainConfirmation wanted{this->object_name, version};
  return std::find(report->drained.begin(), report->drained.end(), wanted) !=
         report->drained.end();
}

// A host that has not been heard of may be cut off and at work: only someone
// who can see the machine may say that it is gone.
bool OwnershipMover::IsGone(std::string_view host) const {
  const std::vector<std::string>& gone = this->request.gone;
  return std::find(gone.begin(), gone.end(), host) != gone.end();
}

void OwnershipMover::Flip(const OwnershipDocument& from, std::int64_t version) {
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
  this->busy = true;
  this->store.Put(
      kOwnershipKind, this->object_name, EncodeOwnership(document), version,
      this->life.Guarded([this](const absl::StatusOr<std::int64_t>& answer) {
        this->busy = false;
        this->progress.last_error = answer.status();
      }));
}

void OwnershipMover::Conflict(std::string_view why) {
  ErrorDetail error;
  error.id = ErrorId::kStoreConflict;
  error.step = "ownership.move";
  error.peer = this->object_name;
  this->progress.phase = MovePhase::kConflict;
  this->progress.last_error =
      MakeError(absl::StatusCode::kFailedPrecondition, error, why);
}

}  // namespace meadowthread
