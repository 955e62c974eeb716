#include "quarantine/quarantine.h"

#include <algorithm>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// How long a run that went well speaks for a part at later crashes.
constexpr std::int64_t kRanBeforeMs = 600'000;

}  // namespace

Quarantine::Quarantine(ListenProbe& check, const Clock& clock,
                       Scheduler& scheduler)
    : clock(clock),
      detector(check, clock, scheduler, [this](const CrashRecord& record) {
        this->AddOwnCrash(record);
      }) {
  this->table.AddListener(
      [this](const CrashRecord& record) { this->OnRecordChanged(record); });
}

std::optional<std::int64_t> Quarantine::RemainingQuarantineMs(
    const CrashRecordId& id) const {
  const CrashRecord* const record = this->table.Find(id);
  if (record == nullptr) {
    return std::nullopt;
  }
  const std::int64_t now_ms = this->clock.WallMs();
  const CrashVerdict verdict = Judge(*record, now_ms);
  if (!verdict.in_quarantine) {
    return std::nullopt;
  }
  return verdict.until_ms - now_ms;
}

void Quarantine::NoteCompleted(const CrashRecordId& id) {
  const CrashRecord* const known = this->table.Find(id);
  if (known == nullptr || known->crashes.empty()) {
    return;
  }
  this->Clear(*known, this->clock.WallMs());
}

void Quarantine::Clear(const CrashRecord& record, std::int64_t until_unix_ms) {
  CrashRecord cleared = record;
  cleared.cleared_ms = ClearableUntilMs(record, until_unix_ms);
  LogLine("suspect-cleared")
      .Add("workspace", record.id.workspace)
      .Add("content", record.id.content)
      .Add("part", record.part)
      .Add("ends", record.crashes.size())
      .WriteImportant();
  this->AddOwnRecord(cleared);
}

// Hosts are told only where the part is suspected, so that nothing is sent when
// nothing is wrong. One host's news clears the part at all hosts.
void Quarantine::NoteGoodRun(std::span<const std::string> parts,
                             std::int64_t begun_unix_ms) {
  for (const std::string& part : parts) {
    this->known_good.Note(part, begun_unix_ms);
  }
  std::vector<CrashRecord> cleared;
  for (const CrashRecord* const record : this->table.PartRecords()) {
    const bool is_part =
        std::find(parts.begin(), parts.end(), record->part) != parts.end();
    if (is_part && !record->crashes.empty() &&
        record->crashes.front().unix_ms <= begun_unix_ms) {
      cleared.push_back(*record);
    }
  }
  for (const CrashRecord& record : cleared) {
    this->Clear(record, begun_unix_ms);
  }
}

std::optional<std::int64_t> Quarantine::RemainingPartQuarantineMs(
    const PromptParts& prompt) {
  const std::int64_t now_ms = this->clock.WallMs();
  const std::optional<std::int64_t> until_ms =
      this->Suspects().QuarantinedUntilMs(prompt, now_ms);
  if (!until_ms.has_value()) {
    return std::nullopt;
  }
  return *until_ms - now_ms;
}

const SuspectParts& Quarantine::Suspects() {
  if (this->suspects_version != this->table.Version()) {
    this->suspects_version = this->table.Version();
    this->suspects.Set(this->table.PartRecords(), this->known_good);
  }
  return this->suspects;
}

CrashVerdict Quarantine::VerdictOn(const CrashRecord& record) {
  if (record.part.empty()) {
    return Judge(record, this->clock.WallMs());
  }
  const SuspectPart* const suspect = this->Suspects().Find(record.part);
  return suspect == nullptr ? CrashVerdict{}
                            : Judge(suspect->record, this->clock.WallMs());
}

// A crash is not blamed on a part with which another run has gone well since.
void Quarantine::AddOwnCrash(CrashRecord record) {
  if (!record.part.empty()) {
    ServerCrash& crash = record.crashes.front();
    const std::int64_t good_ms = this->known_good.LastBegunMs(record.part);
    if (good_ms >= crash.unix_ms) {
      return;
    }
    crash.ran_before = good_ms > crash.unix_ms - kRanBeforeMs;
  }
  this->AddOwnRecord(record);
}

void Quarantine::AddOwnRecord(const CrashRecord& record) {
  this->adding_own = true;
  this->table.Apply(record, this->clock.WallMs());
  this->adding_own = false;
}

std::size_t Quarantine::Count() const {
  const std::int64_t now_ms = this->clock.WallMs();
  const std::vector<const CrashRecord*> all = this->table.All();
  return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [now_ms](const CrashRecord* record) {
        return Judge(*record, now_ms).in_quarantine;
      }));
}

bool Quarantine::IsKnown(const CrashRecordId& id) {
  return this->table.Find(id) != nullptr ||
         (id.workspace.empty() && this->Suspects().Find(id.content) != nullptr);
}

void Quarantine::OnRecordChanged(const CrashRecord& record) {
  const std::int64_t now_ms = this->clock.WallMs();
  const CrashVerdict verdict = this->VerdictOn(record);
  const CrashRecordId id =
      record.part.empty() ? record.id : CrashRecordId{"", record.part};
  if (!verdict.in_quarantine) {
    this->announced.erase(id);
    return;
  }
  std::erase_if(this->announced, [this](const auto& entry) {
    return !this->IsKnown(entry.first);
  });
  const auto [announced, is_new] =
      this->announced.try_emplace(id, verdict.strikes);
  if (!is_new && announced->second == verdict.strikes) {
    return;
  }
  announced->second = verdict.strikes;
  LogLine("quarantined")
      .Add("workspace", record.id.workspace)
      .Add("content", record.id.content)
      .Add("part", record.part)
      .Add("route", record.route)
      .Add("request", record.request)
      .Add("servers", ServersText(record))
      .Add("strikes", verdict.strikes)
      .Add("lasts_ms", verdict.until_ms - now_ms)
      .WriteImportant();
  for (const Listener& listener : this->listeners) {
    listener(record);
  }
}

absl::Status QuarantinedError(std::int64_t lasts_ms, bool may_have_run) {
  ErrorDetail detail;
  detail.id = ErrorId::kQuarantined;
  detail.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  detail.step = "quarantine";
  detail.retry_after_ms = may_have_run ? -1 : lasts_ms;
  return MakeError(absl::StatusCode::kUnavailable, detail,
                   "servers crashed while they ran this request; it is "
                   "quarantined and sent to no server for now");
}

}  // namespace meadowthread
