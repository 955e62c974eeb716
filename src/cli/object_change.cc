#include "cli/object_change.h"

#include "base/error.h"
#include "cli/await.h"

namespace meadowthread {
namespace {

constexpr int kSettleAttempts = 6;
constexpr std::int64_t kSettlePauseMs = 250;

ErrorId IdOf(const absl::Status& status) { return DetailOf(status).id; }

/// The object that stands; version 0 where there is none.
absl::StatusOr<StoredObject> ReadStanding(Platform& platform,
                                          const ObjectChange& change) {
  absl::StatusOr<StoredObject> object =
      AwaitGet(platform, change.Kind(), change.Name());
  if (!object.ok() && IdOf(object.status()) == ErrorId::kNotFound) {
    StoredObject none;
    none.kind = std::string(change.Kind());
    none.name = std::string(change.Name());
    return none;
  }
  return object;
}

/// One change in progress over one base version.
class Settlement {
 public:
  Settlement(Platform& platform, const ObjectChange& change,
             const StoredObject& base)
      : platform(platform),
        change(change),
        base(base),
        value(change.NextValue(base)) {}

  ChangeEnd Run() {
    for (int attempt = 0; attempt < kSettleAttempts; ++attempt) {
      if (attempt > 0) {
        this->platform.Pause(kSettlePauseMs);
      }
      std::optional<ChangeEnd> end = this->Write();
      if (!end.has_value()) {
        end = this->ReadBack();
      }
      if (end.has_value()) {
        return *end;
      }
    }
    return {ChangeOutcome::kUnknown, this->seen, this->error};
  }

 private:
  /// Writing again is harmless: the condition lets one write of ours take
  /// effect at most, however many are still under way.
  std::optional<ChangeEnd> Write() {
    const absl::StatusOr<std::int64_t> answer = Await<std::int64_t>(
        this->platform,
        StoreError(ErrorId::kStoreUnknown, "put", this->change.Kind()),
        [this](const ObjectStore::PutDone& done) {
          this->platform.Store().Put(this->change.Kind(), this->change.Name(),
                                     this->value, this->base.version, done);
        });
    if (answer.ok()) {
      return this->Accepted(*answer);
    }
    this->error = answer.status();
    const ErrorId id = IdOf(this->error);
    if (id == ErrorId::kStoreUnavailable && !this->undecided) {
      return ChangeEnd{ChangeOutcome::kUnavailable, this->base, this->error};
    }
    const bool refused =
        id == ErrorId::kStoreUnavailable || id == ErrorId::kStoreConflict;
    this->undecided = this->undecided || !refused;
    return std::nullopt;
  }

  std::optional<ChangeEnd> ReadBack() {
    const absl::StatusOr<StoredObject> standing =
        ReadStanding(this->platform, this->change);
    if (!standing.ok()) {
      this->error = standing.status();
      return std::nullopt;
    }
    this->seen = *standing;
    if (standing->version == this->base.version) {
      return std::nullopt;  // a write under way may still take effect
    }
    const FoundOperation found =
        this->change.Find(*standing, this->base.version);
    if (found.trace == OperationTrace::kPresent) {
      return this->Accepted(found.version);
    }
    // A refusal alone says that no write of ours took effect; after a lost
    // answer only the object itself can.
    const bool never =
        !this->undecided || found.trace == OperationTrace::kAbsent;
    return ChangeEnd{never ? ChangeOutcome::kConflict : ChangeOutcome::kUnknown,
                     *standing, this->error};
  }

  ChangeEnd Accepted(std::int64_t version) const {
    ChangeEnd end;
    end.outcome = ChangeOutcome::kAccepted;
    end.object = this->base;
    end.object.version = version;
    end.object.value = this->value;
    return end;
  }

  Platform& platform;
  const ObjectChange& change;
  StoredObject base;
  std::string value;
  StoredObject seen = this->base;
  absl::Status error;
  bool undecided = false;  ///< a write was sent whose answer was lost
};

}  // namespace

ChangeEnd MakeChange(Platform& platform, const ObjectChange& change,
                     std::optional<std::int64_t> if_version) {
  const absl::StatusOr<StoredObject> standing = ReadStanding(platform, change);
  if (!standing.ok()) {
    return {ChangeOutcome::kUnavailable, {}, standing.status()};
  }
  if (standing->version != 0 && change.IsDoneBy(*standing)) {
    return {ChangeOutcome::kUnchanged, *standing, absl::OkStatus()};
  }
  if (if_version.has_value() && *if_version != standing->version) {
    return {ChangeOutcome::kConflict, *standing,
            StoreError(ErrorId::kStoreConflict, "put", change.Kind())};
  }
  return Settlement(platform, change, *standing).Run();
}

}  // namespace meadowthread
