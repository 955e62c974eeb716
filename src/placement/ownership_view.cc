#include "placement/ownership_view.h"

#include <algorithm>
#include <optional>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr std::string_view kStep = "ownership";

absl::Status NotRunError(ErrorId id, std::string_view peer,
                         std::string_view message) {
  ErrorDetail error;
  error.id = id;
  error.outcome = Outcome::kNotRun;
  error.step = std::string(kStep);
  error.peer = std::string(peer);
  return MakeError(absl::StatusCode::kUnavailable, error, message);
}

void LogUnreadable(const StoredObject& object, const absl::Status& status) {
  LogLine line("ownership");
  line.Add("object", object.name).Add("version", object.version);
  line.Add("field", DetailOf(status).field).Add("why", "unreadable");
  line.Write();
}

}  // namespace

std::string_view OwnershipVerdictName(OwnershipVerdict verdict) {
  switch (verdict) {
    case OwnershipVerdict::kOurs:
      return "ours";
    case OwnershipVerdict::kDraining:
      return "draining";
    case OwnershipVerdict::kElsewhere:
      return "elsewhere";
    case OwnershipVerdict::kUnreadable:
      return "unreadable";
    case OwnershipVerdict::kUnregistered:
      return "unregistered";
    case OwnershipVerdict::kUnread:
      return "unread";
  }
  return "unread";
}

void OwnershipView::Apply(const StoredObject& object) {
  const std::optional<OwnedId> id = ParseOwnershipObjectName(object.name);
  if (!id.has_value()) {
    return;
  }
  Entry& entry = this->entries[*id];
  if (object.version <= entry.version) {
    return;
  }
  entry.version = object.version;
  entry.deleted = object.deleted;
  const absl::StatusOr<OwnershipDocument> document =
      ParseOwnership(object.value);
  // An invalid document may have changed the owner. Using the older document
  // could let two deployments start work, so neither does.
  entry.readable = document.ok();
  if (document.ok()) {
    entry.document = *document;
  } else if (!object.deleted) {
    LogUnreadable(object, document.status());
  }
}

void OwnershipView::ConfirmReadSince(std::int64_t since_ms) {
  this->confirmed_ms =
      std::max(this->confirmed_ms.value_or(since_ms), since_ms);
}

void OwnershipView::SetRegistered() {
  // Later writes of the same status object keep the time of the first one.
  if (!this->registered_ms.has_value()) {
    this->registered_ms = this->clock.MonotonicMs();
  }
}

// The read must be strictly later than the registration: one sent in the same
// millisecond may have been sent before the status object was written.
bool OwnershipView::HasReadSinceRegistered() const {
  return this->confirmed_ms.has_value() && this->registered_ms.has_value() &&
         *this->confirmed_ms > *this->registered_ms;
}

OwnershipVerdict OwnershipView::VerdictFor(
    const OwnershipDocument& document) const {
  if (document.owner != this->settings.deployment) {
    return OwnershipVerdict::kElsewhere;
  }
  return document.state == OwnershipState::kDraining
             ? OwnershipVerdict::kDraining
             : OwnershipVerdict::kOurs;
}

OwnershipLookup OwnershipView::Lookup(const OwnedId& id) const {
  OwnershipLookup answer;
  OwnershipDocument document;
  document.owner = this->settings.default_owner;
  document.address = this->settings.default_address;
  const auto found = this->entries.find(id);
  const bool present = found != this->entries.end() && !found->second.deleted;
  bool readable = true;
  if (present) {
    readable = found->second.readable;
    document = found->second.document;
    answer.epoch = document.epoch;
    answer.version = found->second.version;
  }
  answer.owner = document.owner;
  const bool draining = document.state == OwnershipState::kDraining;
  answer.address = draining ? document.next_address : document.address;
  answer.verdict =
      readable ? this->VerdictFor(document) : OwnershipVerdict::kUnreadable;
  // Work may be refused from an old view. Only permission depends on the
  // registration and the read after it.
  if (answer.verdict != OwnershipVerdict::kOurs ||
      !this->settings.has_other_deployment) {
    return answer;
  }
  if (!this->registered_ms.has_value()) {
    answer.verdict = OwnershipVerdict::kUnregistered;
  } else if (!this->HasReadSinceRegistered()) {
    answer.verdict = OwnershipVerdict::kUnread;
  }
  return answer;
}

absl::Status OwnershipView::MayStart(const OwnedId& id) const {
  const OwnershipLookup answer = this->Lookup(id);
  const std::string name = OwnershipObjectName(id);
  switch (answer.verdict) {
    case OwnershipVerdict::kOurs:
      return absl::OkStatus();
    case OwnershipVerdict::kDraining:
    case OwnershipVerdict::kElsewhere:
      return NotRunError(
          ErrorId::kOwnedElsewhere, answer.address,
          absl::StrCat(name, " is served by another deployment"));
    case OwnershipVerdict::kUnreadable:
      return NotRunError(ErrorId::kHostNotReady, name,
                         "the ownership object cannot be read");
    case OwnershipVerdict::kUnregistered:
      return NotRunError(ErrorId::kHostNotReady, name,
                         "this host has not written its status object yet");
    case OwnershipVerdict::kUnread:
      break;
  }
  return NotRunError(ErrorId::kHostNotReady, name,
                     "ownership has not been read since this host registered");
}

std::vector<DrainingObject> OwnershipView::Draining() const {
  std::vector<DrainingObject> draining;
  for (const auto& [id, entry] : this->entries) {
    const bool ours =
        !entry.deleted && entry.readable &&
        this->VerdictFor(entry.document) == OwnershipVerdict::kDraining;
    if (ours) {
      draining.push_back({id, entry.version});
    }
  }
  return draining;
}

}  // namespace meadowthread
