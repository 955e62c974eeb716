#include "configuration/conditional_change.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "store/http_object_store.h"

namespace meadowthread {
namespace {

// Backoff stops doubling here, so that the shift can't overflow.
constexpr int kMostDoublings = 6;

bool IsAbsent(const absl::StatusOr<StoredObject>& answer) {
  return !answer.ok() && DetailOf(answer.status()).id == ErrorId::kNotFound;
}

}  // namespace

ConditionalChange::ConditionalChange(ObjectStore& store, Scheduler& scheduler,
                                     const ChangeOptions& options,
                                     std::unique_ptr<ChangeSubject> subject,
                                     const ChangeDone& done)
    : store(store),
      scheduler(scheduler),
      options(options),
      subject(std::move(subject)),
      done(done) {}

void ConditionalChange::Start(std::optional<std::int64_t> base) {
  this->base_version = base;
  this->ReadFirst();
}

void ConditionalChange::ReadFirst() {
  this->store.Get(this->subject->Kind(), this->subject->Name(),
                  [self = this->shared_from_this()](const auto& answer) {
                    self->TakeFirst(answer);
                  });
}

void ConditionalChange::TakeFirst(const absl::StatusOr<StoredObject>& answer) {
  if (!answer.ok() && !IsAbsent(answer)) {
    this->Again(&ConditionalChange::ReadFirst);
    return;
  }
  if (answer.ok()) {
    if (this->FinishIfOurs(*answer)) {
      return;
    }
    if (this->IsSame(*answer)) {
      this->ConfirmSame(*answer);
      this->Write();
      return;
    }
    this->base = *answer;
    this->expected = answer->version;
  }
  if (this->base_version.value_or(0) > this->expected) {
    // The operator has seen a newer version than this read shows.
    this->Again(&ConditionalChange::ReadFirst);
    return;
  }
  const StoredObject* standing = answer.ok() ? &*answer : nullptr;
  if (this->base_version.value_or(this->expected) != this->expected) {
    this->base.reset();
    if (*this->base_version != 0) {
      // Only the version is known; its text may stand in the history.
      this->base = StoredObject{"", "", *this->base_version, "", false};
    }
    this->FinishConflict(standing);
    return;
  }
  this->value = this->subject->NextValue(standing);
  if (this->value.size() > kMaxObjectBytes) {
    ChangeResult result;
    result.outcome = ChangeOutcome::kInvalid;
    result.message = "the text is larger than the object API takes";
    result.problems.push_back({0, "", result.message});
    this->Finish(result);
    return;
  }
  this->Write();
}

void ConditionalChange::Write() {
  this->store.Put(this->subject->Kind(), this->subject->Name(), this->value,
                  this->expected,
                  [self = this->shared_from_this()](const auto& answer) {
                    self->Written(answer);
                  });
}

void ConditionalChange::Written(const absl::StatusOr<std::int64_t>& answer) {
  if (answer.ok()) {
    this->FinishApplied(*answer);
    return;
  }
  const ErrorId id = DetailOf(answer.status()).id;
  if (id == ErrorId::kStoreUnavailable) {
    this->Again(&ConditionalChange::Write);
    return;
  }
  if (id == ErrorId::kStoreConflict) {
    this->has_conflict = true;
    this->ReadBack();
    return;
  }
  this->may_have_landed = true;
  this->Again(&ConditionalChange::ReadBack);
}

void ConditionalChange::ReadBack() {
  this->store.Get(this->subject->Kind(), this->subject->Name(),
                  [self = this->shared_from_this()](const auto& answer) {
                    self->TakeBack(answer);
                  });
}

void ConditionalChange::TakeBack(const absl::StatusOr<StoredObject>& answer) {
  if (!answer.ok() && !IsAbsent(answer)) {
    this->Again(&ConditionalChange::ReadBack);
    return;
  }
  if (answer.ok() && this->FinishIfOurs(*answer)) {
    return;
  }
  if (answer.ok() && this->IsSame(*answer)) {
    this->ConfirmSame(*answer);
    this->Again(&ConditionalChange::Write);
    return;
  }
  const std::int64_t version = answer.ok() ? answer->version : 0;
  const bool is_stale = answer.ok() && version < this->expected;
  if (is_stale) {
    this->Again(&ConditionalChange::ReadBack);
  } else if (version == this->expected) {
    // Nothing is seen, but a delayed update may still come. The same update
    // again decides: whichever takes effect first, the other one's condition
    // no longer holds.
    this->Again(&ConditionalChange::Write);
  } else {
    this->FinishConflict(answer.ok() ? &*answer : nullptr);
  }
}

bool ConditionalChange::FinishIfOurs(const StoredObject& standing) {
  const StandingVerdict verdict = this->subject->Judge(standing);
  const bool is_before = verdict.standing == Standing::kOursBefore;
  if (verdict.standing != Standing::kOurs && !is_before) {
    return false;
  }
  ChangeResult result;
  result.outcome = ChangeOutcome::kAccepted;
  result.version = verdict.version;
  result.object = standing;
  result.message = "accepted";
  if (is_before) {
    result.superseded = true;
    result.message = "accepted, and followed by another change";
    result.difference = this->subject->Explain(nullptr, &standing);
  }
  this->Finish(result);
  return true;
}

bool ConditionalChange::IsSame(const StoredObject& standing) const {
  return this->subject->Judge(standing).standing == Standing::kSame;
}

// Reads may be stale: that the same content stands shows only by a conditional
// update that changes nothing but the version.
void ConditionalChange::ConfirmSame(const StoredObject& standing) {
  this->confirms_same = true;
  this->base = standing;
  this->expected = standing.version;
  this->value = standing.value;
}

void ConditionalChange::Again(Step step) {
  ++this->failures;
  if (this->failures >= this->options.attempts) {
    this->FinishUnsettled();
    return;
  }
  const int doublings = std::min(this->failures - 1, kMostDoublings);
  this->scheduler.After(
      this->options.first_backoff_ms << doublings,
      [self = this->shared_from_this(), step] { ((*self).*step)(); });
}

void ConditionalChange::FinishApplied(std::int64_t version) {
  ChangeResult result;
  result.outcome = ChangeOutcome::kAccepted;
  result.version = version;
  result.message = "accepted";
  if (this->confirms_same) {
    result.outcome = ChangeOutcome::kUnchanged;
    result.message = "the same content stands already";
  }
  result.object = StoredObject{std::string(this->subject->Kind()),
                               std::string(this->subject->Name()), version,
                               this->value, false};
  this->Finish(result);
}

void ConditionalChange::FinishConflict(const StoredObject* standing) {
  ChangeResult result;
  result.outcome = ChangeOutcome::kConflict;
  result.may_have_been_in_force = this->may_have_landed;
  result.message =
      "another change stands; look at it and put yours again if still wanted";
  const StoredObject* from = this->base.has_value() ? &*this->base : nullptr;
  result.difference = this->subject->Explain(from, standing);
  if (standing != nullptr) {
    result.object = *standing;
  }
  this->Finish(result);
}

void ConditionalChange::FinishUnsettled() {
  ChangeResult result;
  if (this->may_have_landed) {
    result.outcome = ChangeOutcome::kUnknown;
    result.message =
        "it is unknown whether the change takes effect; run the same command "
        "again with the same operation id: it settles this and never applies "
        "the change twice";
  } else if (this->has_conflict) {
    result.outcome = ChangeOutcome::kConflict;
    result.message = "another change stands, and it could not be read";
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
