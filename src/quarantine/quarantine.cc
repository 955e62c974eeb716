#include "quarantine/quarantine.h"

#include <algorithm>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
Quarantine::Quarantine(ListenProbe& check, const Clock& clock,
                       Scheduler& scheduler)
    : clock(clock),
      detector(check, clock, scheduler, [this](const CrashRecord& record) {
        this->AddOwnRecord(record);
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
  CrashRecord cleared = *known;
  cleared.cleared_ms = this->clock.WallMs();
  LogLine("suspect-cleared")
      .Add("workspace", id.workspace)
      .Add("content", id.content)
      .Add("ends", known->crashes.size())
      .WriteImportant();
  this->AddOwnRecord(cleared);
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

void Quarantine::OnRecordChanged(const CrashRecord& record) {
  const std::int64_t now_ms = this->clock.WallMs();
  const CrashVerdict verdict = Judge(record, now_ms);
  if (!verdict.in_quarantine) {
    this->announced.erase(record.id);
    return;
  }
  std::erase_if(this->announced, [this](const auto& entry) {
    return this->table.Find(entry.first) == nullptr;
  });
  const auto [announced, is_new] =
      this->announced.try_emplace(record.id, verdict.strikes);
  if (!is_new && announced->second == verdict.strikes) {
    return;
  }
  announced->second = verdict.strikes;
  LogLine("quarantined")
      .Add("workspace", record.id.workspace)
      .Add("content", record.id.content)
      .Add("route", record.route)
      .Add("request", record.request)
      .Add("servers", ServersText(record))
      .Add("strikes", verdict.strikes)
      .Add("lasts_ms", verdict.until_ms - now_ms)
      .WriteImportant();
  for (const Listener& listener : this->listeners) {
    listener(record.id);
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
