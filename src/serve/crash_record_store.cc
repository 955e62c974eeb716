#include "serve/crash_record_store.h"

#include <algorithm>
#include <vector>

#include "base/error.h"
#include "base/log_line.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

// A host makes at most ten writes per second, even if many different requests
// crash servers at once. All hosts together may make hundreds.
constexpr std::int64_t kWritePeriodMs = 100;
constexpr std::int64_t kRetryMs = 1'000;
// The host that saw a crash writes its record at once. The other hosts write it
// only after a random delay within these bounds, so that if the first host
// could not write, usually a single other one does.
constexpr std::int64_t kMinPeerWriteDelayMs = 5'000;
constexpr std::int64_t kMaxPeerWriteDelayMs = 60'000;
// Expired objects are removed at this interval; see RemoveExpired.
constexpr std::int64_t kRemovePeriodMs = 60'000;

}  // namespace

CrashRecordStore::CrashRecordStore(std::string_view kind, StoredRecords which,
                                   Quarantine& quarantine, ObjectStore& store,
                                   ReplicatedView& view, const Clock& clock,
                                   Scheduler& scheduler, std::uint64_t seed)
    : kind(kind),
      which(which),
      quarantine(quarantine),
      store(store),
      view(view),
      clock(clock),
      scheduler(scheduler),
      random(seed) {
  view.AddListener([this](const ViewChange& change) {
    if (change.kind == this->kind) {
      for (const StoredObject& object : change.items) {
        this->ApplyObject(object);
      }
    }
  });
  quarantine.AddChangeListener([this](const CrashRecord& record, bool is_own) {
    this->OnRecordChanged(record, is_own);
  });
}

void CrashRecordStore::Start() {
  RunEvery(this->scheduler, kWritePeriodMs,
           this->life.Guarded([this] { this->WriteNextDue(); }));
  RunEvery(this->scheduler, kRemovePeriodMs,
           this->life.Guarded([this] { this->RemoveExpired(); }));
}

void CrashRecordStore::WriteMissing() {
  for (const CrashRecord* const record : this->quarantine.RecordTable().All()) {
    this->OnRecordChanged(*record, false);
  }
}

void CrashRecordStore::ApplyObject(const StoredObject& object) {
  if (object.deleted) {
    return;
  }
  const absl::StatusOr<CrashRecord> record =
      DecodeCrashRecord(object.name, object.value);
  if (!record.ok()) {
    LogLine("quarantine-entry-refused")
        .Add("name", object.name)
        .Add("field", DetailOf(record.status()).field)
        .Add("why", std::string{record.status().message()})
        .WriteImportant();
    return;
  }
  this->applying_stored = true;
  this->quarantine.RecordTable().Apply(*record, this->clock.WallMs());
  this->applying_stored = false;
}

void CrashRecordStore::OnRecordChanged(const CrashRecord& record, bool is_own) {
  if (this->applying_stored || !this->ShouldBeStored(record)) {
    return;
  }
  const std::int64_t spread_ms =
      kMinPeerWriteDelayMs +
      static_cast<std::int64_t>(
          this->random() % static_cast<std::uint64_t>(kMaxPeerWriteDelayMs -
                                                      kMinPeerWriteDelayMs));
  const std::int64_t at_ms =
      this->clock.MonotonicMs() + (is_own ? 0 : spread_ms);
  const auto [due, is_new] = this->due.try_emplace(record.id, at_ms);
  if (!is_new) {
    due->second = std::min(due->second, at_ms);
  }
}

bool CrashRecordStore::ShouldBeStored(const CrashRecord& record) const {
  const CrashVerdict verdict = this->quarantine.VerdictOn(record);
  const bool stored = this->view.Find(this->kind, record.id.content) != nullptr;
  return stored || verdict.strikes > 0 || record.kept_ms > 0 ||
         (this->which == StoredRecords::kSuspects && !record.crashes.empty());
}

bool CrashRecordStore::DiffersFromStored(const CrashRecord& record) const {
  const StoredObject* const object =
      this->view.Find(this->kind, record.id.content);
  if (object == nullptr) {
    return true;
  }
  absl::StatusOr<CrashRecord> stored =
      DecodeCrashRecord(object->name, object->value);
  return !stored.ok() || Merge(record, &*stored);
}

void CrashRecordStore::WriteNextDue() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const auto next = std::min_element(
      this->due.begin(), this->due.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (next == this->due.end() || next->second > now_ms) {
    return;
  }
  const CrashRecordId id = next->first;
  this->due.erase(next);
  this->Write(id);
}

void CrashRecordStore::Write(const CrashRecordId& id) {
  const CrashRecord* const record = this->quarantine.RecordTable().Find(id);
  if (record == nullptr || !this->DiffersFromStored(*record)) {
    return;
  }
  const StoredObject* const stored = this->view.Find(this->kind, id.content);
  StoredObject object;
  object.kind = this->kind;
  object.name = id.content;
  object.value = EncodeCrashRecord(*record);
  this->store.Put(
      object.kind, object.name, object.value,
      stored == nullptr ? 0 : stored->version,
      this->life.Guarded(
          [this, id, object](const absl::StatusOr<std::int64_t>& written) {
            this->OnWritten(id, written, object);
          }));
}

void CrashRecordStore::OnWritten(const CrashRecordId& id,
                                 const absl::StatusOr<std::int64_t>& written,
                                 const StoredObject& object) {
  LogLine("quarantine-entry")
      .Add("content", id.content)
      .Add("written", written.ok() ? "yes" : "no")
      .Add("why", std::string{written.status().message()})
      .WriteImportant();
  if (written.ok()) {
    StoredObject stored = object;
    stored.version = *written;
    this->view.ApplyItems({&stored, 1});
    return;
  }
  this->ReadBack(id);
}

// Called after a failed write: another host may have written the object first,
// or it is unknown whether this host's write took effect.
void CrashRecordStore::ReadBack(const CrashRecordId& id) {
  this->store.Get(
      this->kind, id.content,
      this->life.Guarded([this, id](const absl::StatusOr<StoredObject>& found) {
        if (found.ok()) {
          this->view.ApplyItems({&*found, 1});
        }
        this->due.try_emplace(id, this->clock.MonotonicMs() + kRetryMs);
      }));
}

void CrashRecordStore::RemoveExpired() {
  const std::int64_t now_ms = this->clock.WallMs();
  std::vector<StoredObject> expired;
  for (const StoredObject* const object : this->view.Live(this->kind)) {
    const absl::StatusOr<CrashRecord> record =
        DecodeCrashRecord(object->name, object->value);
    if (record.ok() && Judge(*record, now_ms).forget_ms <= now_ms) {
      expired.push_back(*object);
    }
  }
  if (expired.empty()) {
    return;
  }
  // Removes one expired object per period, chosen at random. If several hosts
  // choose the same one, all but the first only get a version conflict.
  const StoredObject& chosen = expired[this->random() % expired.size()];
  this->store.Delete(
      this->kind, chosen.name, chosen.version,
      [name = chosen.name](const absl::StatusOr<std::int64_t>& removed) {
        LogLine("quarantine-entry-removed")
            .Add("content", name)
            .Add("removed", removed.ok() ? "yes" : "no")
            .Write();
      });
}

}  // namespace meadowthread
