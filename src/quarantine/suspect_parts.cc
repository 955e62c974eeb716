#include "quarantine/suspect_parts.h"

#include <algorithm>

namespace meadowthread {
namespace {

// A workspace alone can't have another one's requests refused: crashes must
// have come from this many, or from one of its own runs.
constexpr std::size_t kWorkspacesToShare = 2;
// A suspect that another one accounts for is tried without it. After this many
// crashes that the other one does not account for it is refused as well. One
// may be the coincidence of an unrelated crash.
constexpr std::ptrdiff_t kCrashesOfItsOwn = 2;

bool Contains(std::span<const std::string> parts, std::string_view part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool HasCrash(const CrashRecord& record, std::string_view server) {
  return std::any_of(
      record.crashes.begin(), record.crashes.end(),
      [server](const ServerCrash& crash) { return crash.server == server; });
}

// Whether nearly all crashes of one part happened under the other one, too.
bool Accounts(const CrashRecord& other, const CrashRecord& record) {
  return std::count_if(record.crashes.begin(), record.crashes.end(),
                       [&other](const ServerCrash& crash) {
                         return !HasCrash(other, crash.server);
                       }) < kCrashesOfItsOwn;
}

}  // namespace

void SuspectParts::Set(std::span<const CrashRecord* const> records,
                       const KnownGoodParts& known_good) {
  this->suspects.clear();
  for (const CrashRecord* const record : records) {
    CrashRecord& all = this->suspects[record->part].record;
    all.part = record->part;
    Merge(*record, &all);
  }
  for (auto& [part, suspect] : this->suspects) {
    CrashRecord own;
    own.cleared_ms =
        ClearableUntilMs(suspect.record, known_good.LastBegunMs(part));
    Merge(own, &suspect.record);
  }
  std::erase_if(this->suspects, [](const auto& entry) {
    return !IsSuspect(entry.second.record);
  });
  for (const CrashRecord* const record : records) {
    const auto suspect = this->suspects.find(record->part);
    if (suspect != this->suspects.end() &&
        std::any_of(record->crashes.begin(), record->crashes.end(),
                    [&suspect](const ServerCrash& crash) {
                      return HasCrash(suspect->second.record, crash.server);
                    })) {
      suspect->second.workspaces.insert(record->id.workspace);
    }
  }
}

const SuspectPart* SuspectParts::Find(std::string_view part) const {
  const auto found = this->suspects.find(part);
  return found == this->suspects.end() ? nullptr : &found->second;
}

// Without this a part that always comes with the one that crashes servers would
// be refused as well, and nothing could show any more that it is sound.
bool SuspectParts::IsExplainedByOthers(const SuspectPart& suspect,
                                       std::span<const std::string> prompt,
                                       std::int64_t now_unix_ms) const {
  return std::any_of(
      this->suspects.begin(), this->suspects.end(), [&](const auto& entry) {
        return !Contains(prompt, entry.first) &&
               Judge(entry.second.record, now_unix_ms).in_quarantine &&
               Accounts(entry.second.record, suspect.record);
      });
}

std::optional<std::int64_t> SuspectParts::QuarantinedUntilMs(
    const PromptParts& prompt, std::int64_t now_unix_ms) const {
  for (const std::string& part : prompt.parts) {
    const SuspectPart* const suspect = this->Find(part);
    if (suspect == nullptr) {
      continue;
    }
    const CrashVerdict verdict = Judge(suspect->record, now_unix_ms);
    const bool is_kept = suspect->record.kept_ms > suspect->record.cleared_ms;
    const bool concerns_workspace =
        suspect->workspaces.contains(prompt.workspace) ||
        suspect->workspaces.size() >= kWorkspacesToShare;
    const bool is_guilty =
        concerns_workspace &&
        !this->IsExplainedByOthers(*suspect, prompt.parts, now_unix_ms);
    if (verdict.in_quarantine && (is_kept || is_guilty)) {
      return verdict.until_ms;
    }
  }
  return std::nullopt;
}

}  // namespace meadowthread
