#include "serve/quarantine_entries.h"

#include <algorithm>
#include <vector>

#include "base/error.h"
#include "base/log_line.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

// One call of a host at a time, however many contents end servers at once: ten
// a second of the hundreds that all hosts may make.
constexpr std::int64_t kStepMs = 100;
constexpr std::int64_t kAgainMs = 1'000;
// What another host saw is left to that one; where it could not write, one of
// the others does, rarely two.
constexpr std::int64_t kOthersAfterMs = 5'000;
constexpr std::int64_t kOthersWithinMs = 60'000;
// An object that nothing depends on any more is removed by one of the hosts.
constexpr std::int64_t kRemovePeriodMs = 60'000;

}  // namespace

QuarantineEntries::QuarantineEntries(std::string_view kind, StoredRecords which,
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
        this->TakeObject(object);
      }
    }
  });
  quarantine.AddChangeListener([this](const CrashRecord& record, bool is_own) {
    this->TakeChange(record, is_own);
  });
}

void QuarantineEntries::Start() {
  RunEvery(this->scheduler, kStepMs,
           this->life.Guarded([this] { this->Step(); }));
  RunEvery(this->scheduler, kRemovePeriodMs,
           this->life.Guarded([this] { this->RemoveOld(); }));
}

void QuarantineEntries::TakeObject(const StoredObject& object) {
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
  this->taking = true;
  this->quarantine.RecordTable().Apply(*record, this->clock.WallMs());
  this->taking = false;
}

void QuarantineEntries::TakeChange(const CrashRecord& record, bool is_own) {
  if (this->taking || !this->IsToLie(record)) {
    return;
  }
  const std::int64_t spread_ms =
      kOthersAfterMs +
      static_cast<std::int64_t>(
          this->random() %
          static_cast<std::uint64_t>(kOthersWithinMs - kOthersAfterMs));
  const std::int64_t at_ms =
      this->clock.MonotonicMs() + (is_own ? 0 : spread_ms);
  const auto [due, is_new] = this->due.try_emplace(record.id, at_ms);
  if (!is_new) {
    due->second = std::min(due->second, at_ms);
  }
}

bool QuarantineEntries::IsToLie(const CrashRecord& record) const {
  const CrashVerdict verdict = Judge(record, this->clock.WallMs());
  const bool lies = this->view.Find(this->kind, record.id.content) != nullptr;
  return lies || verdict.strikes > 0 || record.kept_ms > 0 ||
         (this->which == StoredRecords::kSuspects && !record.crashes.empty());
}

bool QuarantineEntries::HasNews(const CrashRecord& record) const {
  const StoredObject* const object =
      this->view.Find(this->kind, record.id.content);
  if (object == nullptr) {
    return true;
  }
  absl::StatusOr<CrashRecord> lies =
      DecodeCrashRecord(object->name, object->value);
  return !lies.ok() || Merge(record, &*lies);
}

void QuarantineEntries::Step() {
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

void QuarantineEntries::Write(const CrashRecordId& id) {
  const CrashRecord* const record = this->quarantine.RecordTable().Find(id);
  if (record == nullptr || !this->HasNews(*record)) {
    return;
  }
  const StoredObject* const lies = this->view.Find(this->kind, id.content);
  StoredObject object;
  object.kind = this->kind;
  object.name = id.content;
  object.value = EncodeCrashRecord(*record);
  this->store.Put(
      object.kind, object.name, object.value,
      lies == nullptr ? 0 : lies->version,
      this->life.Guarded(
          [this, id, object](const absl::StatusOr<std::int64_t>& written) {
            this->TakeWritten(id, written, object);
          }));
}

void QuarantineEntries::TakeWritten(const CrashRecordId& id,
                                    const absl::StatusOr<std::int64_t>& written,
                                    const StoredObject& object) {
  LogLine("quarantine-entry")
      .Add("content", id.content)
      .Add("written", written.ok() ? "yes" : "no")
      .Add("why", std::string{written.status().message()})
      .WriteImportant();
  if (written.ok()) {
    StoredObject lies = object;
    lies.version = *written;
    this->view.ApplyItems({&lies, 1});
    return;
  }
  this->ReadBack(id);
}

// Another host's may lie there, or it is not known what does.
void QuarantineEntries::ReadBack(const CrashRecordId& id) {
  this->store.Get(
      this->kind, id.content,
      this->life.Guarded([this, id](const absl::StatusOr<StoredObject>& found) {
        if (found.ok()) {
          this->view.ApplyItems({&*found, 1});
        }
        this->due.try_emplace(id, this->clock.MonotonicMs() + kAgainMs);
      }));
}

void QuarantineEntries::RemoveOld() {
  const std::int64_t now_ms = this->clock.WallMs();
  std::vector<StoredObject> old;
  for (const StoredObject* const object : this->view.Live(this->kind)) {
    const absl::StatusOr<CrashRecord> record =
        DecodeCrashRecord(object->name, object->value);
    if (record.ok() && Judge(*record, now_ms).forget_ms <= now_ms) {
      old.push_back(*object);
    }
  }
  if (old.empty()) {
    return;
  }
  // One of them each time: hosts that draw alike meet a conflict, and no more.
  const StoredObject& drawn = old[this->random() % old.size()];
  this->store.Delete(
      this->kind, drawn.name, drawn.version,
      [name = drawn.name](const absl::StatusOr<std::int64_t>& removed) {
        LogLine("quarantine-entry-removed")
            .Add("content", name)
            .Add("removed", removed.ok() ? "yes" : "no")
            .Write();
      });
}

}  // namespace meadowthread
