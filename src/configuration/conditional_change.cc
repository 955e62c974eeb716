#include "configuration/conditional_change.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "store/http_object_store.h"

namespace meadowthread {
namespace {

// Limits the exponential backoff, so that the shift can't overflow.
constexpr int kMaxDoublings = 6;

bool IsAbsent(const absl::StatusOr<StoredObject>& answer) {
  return !answer.ok() && DetailOf(answer.status()).id == ErrorId::kNotFound;
}

}  // namespace

ConditionalChange::ConditionalChange(ObjectStore& store, Scheduler& scheduler,
                                     const ChangeOptions& options,
                                     std::unique_ptr<ObjectEdit> edit,
                                     const ChangeDone& done)
    : store(store),
      scheduler(scheduler),
      options(options),
      edit(std::move(edit)),
      done(done) {}

void ConditionalChange::Start(std::optional<std::int64_t> base) {
  this->base_version = base;
  this->ReadCurrent();
}

void ConditionalChange::ReadCurrent() {
  this->store.Get(this->edit->Kind(), this->edit->Name(),
                  [self = this->shared_from_this()](const auto& answer) {
                    self->OnCurrentRead(answer);
                  });
}

void ConditionalChange::OnCurrentRead(
    const absl::StatusOr<StoredObject>& answer) {
  if (!answer.ok() && !IsAbsent(answer)) {
    this->RetryLater(&ConditionalChange::ReadCurrent);
    return;
  }
  if (answer.ok()) {
    if (this->FinishIfApplied(*answer)) {
      return;
    }
    if (this->HasSameContent(*answer)) {
      this->PrepareVersionOnlyUpdate(*answer);
      this->Write();
      return;
    }
    this->base = *answer;
    this->expected = answer->version;
  }
  if (this->base_version.value_or(0) > this->expected) {
    // This read is stale: the operator has already seen a newer version.
    this->RetryLater(&ConditionalChange::ReadCurrent);
    return;
  }
  const StoredObject* stored = answer.ok() ? &*answer : nullptr;
  if (this->base_version.value_or(this->expected) != this->expected) {
    this->base.reset();
    if (*this->base_version != 0) {
      // Only the version is known; its text may be in the stored history.
      this->base = StoredObject{"", "", *this->base_version, "", false};
    }
    this->FinishConflict(stored);
    return;
  }
  this->value = this->edit->NextValue(stored);
  if (this->value.size() > kMaxObjectBytes) {
    ChangeResult result;
    result.outcome = ChangeOutcome::kInvalid;
    result.message = "the object would be larger than the object API accepts";
    result.problems.push_back({0, "", result.message});
    this->Finish(result);
    return;
  }
  this->Write();
}

void ConditionalChange::Write() {
  this->store.Put(this->edit->Kind(), this->edit->Name(), this->value,
                  this->expected,
                  [self = this->shared_from_this()](const auto& answer) {
                    self->OnWritten(answer);
                  });
}

void ConditionalChange::OnWritten(const absl::StatusOr<std::int64_t>& answer) {
  if (answer.ok()) {
    this->FinishApplied(*answer);
    return;
  }
  const ErrorId id = DetailOf(answer.status()).id;
  if (id == ErrorId::kStoreUnavailable) {
    this->RetryLater(&ConditionalChange::Write);
    return;
  }
  if (id == ErrorId::kStoreConflict) {
    this->has_conflict = true;
    this->ReadBack();
    return;
  }
  this->may_have_applied = true;
  this->RetryLater(&ConditionalChange::ReadBack);
}

void ConditionalChange::ReadBack() {
  this->store.Get(this->edit->Kind(), this->edit->Name(),
                  [self = this->shared_from_this()](const auto& answer) {
                    self->OnReadBack(answer);
                  });
}

void ConditionalChange::OnReadBack(const absl::StatusOr<StoredObject>& answer) {
  if (!answer.ok() && !IsAbsent(answer)) {
    this->RetryLater(&ConditionalChange::ReadBack);
    return;
  }
  if (answer.ok() && this->FinishIfApplied(*answer)) {
    return;
  }
  if (answer.ok() && this->HasSameContent(*answer)) {
    this->PrepareVersionOnlyUpdate(*answer);
    this->RetryLater(&ConditionalChange::Write);
    return;
  }
  const std::int64_t version = answer.ok() ? answer->version : 0;
  const bool is_stale = answer.ok() && version < this->expected;
  if (is_stale) {
    this->RetryLater(&ConditionalChange::ReadBack);
  } else if (version == this->expected) {
    // The update is not visible, but a delayed copy may still arrive. Sending
    // the same update again settles this: whichever copy is applied first, the
    // condition of the other one fails.
    this->RetryLater(&ConditionalChange::Write);
  } else {
    this->FinishConflict(answer.ok() ? &*answer : nullptr);
  }
}

bool ConditionalChange::FinishIfApplied(const StoredObject& stored) {
  const PresenceResult found = this->edit->FindIn(stored);
  const bool is_superseded = found.presence == ChangePresence::kSuperseded;
  if (found.presence != ChangePresence::kCurrent && !is_superseded) {
    return false;
  }
  ChangeResult result;
  result.outcome = ChangeOutcome::kAccepted;
  result.version = found.version;
  result.object = stored;
  result.message = "accepted";
  if (is_superseded) {
    result.superseded = true;
    result.message = "accepted, then superseded by another change";
    result.difference = this->edit->Explain(nullptr, &stored);
  }
  this->Finish(result);
  return true;
}

bool ConditionalChange::HasSameContent(const StoredObject& stored) const {
  return this->edit->FindIn(stored).presence == ChangePresence::kSameContent;
}

// Reads may be stale, so a read alone doesn't prove that the object has the
// same content. A conditional update that changes only the version does.
void ConditionalChange::PrepareVersionOnlyUpdate(const StoredObject& stored) {
  this->confirms_same_content = true;
  this->base = stored;
  this->expected = stored.version;
  this->value = stored.value;
}

void ConditionalChange::RetryLater(Step step) {
  ++this->failures;
  if (this->failures >= this->options.attempts) {
    this->FinishOutOfAttempts();
    return;
  }
  const int doublings = std::min(this->failures - 1, kMaxDoublings);
  this->scheduler.After(
      this->options.first_backoff_ms << doublings,
      [self = this->shared_from_this(), step] { ((*self).*step)(); });
}

void ConditionalChange::FinishApplied(std::int64_t version) {
  ChangeResult result;
  result.outcome = ChangeOutcome::kAccepted;
  result.version = version;
  result.message = "accepted";
  if (this->confirms_same_content) {
    result.outcome = ChangeOutcome::kUnchanged;
    result.message = "the object already has this content";
  }
  result.object = StoredObject{std::string(this->edit->Kind()),
                               std::string(this->edit->Name()), version,
                               this->value, false};
  this->Finish(result);
}

void ConditionalChange::FinishConflict(const StoredObject* stored) {
  ChangeResult result;
  result.outcome = ChangeOutcome::kConflict;
  result.may_have_been_in_force = this->may_have_applied;
  result.message =
      "another change is in force; review it and submit yours again if it is "
      "still wanted";
  const StoredObject* from = this->base.has_value() ? &*this->base : nullptr;
  result.difference = this->edit->Explain(from, stored);
  if (stored != nullptr) {
    result.object = *stored;
  }
  this->Finish(result);
}

void ConditionalChange::FinishOutOfAttempts() {
  ChangeResult result;
  if (this->may_have_applied) {
    result.outcome = ChangeOutcome::kUnknown;
    result.message =
        "it is unknown whether the change takes effect; run the same command "
        "again with the same operation id: it settles this and never applies "
        "the change twice";
  } else if (this->has_conflict) {
    result.outcome = ChangeOutcome::kConflict;
    result.message = "another change is in force, and it could not be read";
  } else {
    result.outcome = ChangeOutcome::kNotApplied;
    result.message =
        "the object API is unavailable and nothing was changed; try again "
        "later";
  }
  this->Finish(result);
}

void ConditionalChange::Finish(const ChangeResult& result) {
  this->done(result);
}

}  // namespace meadowthread
