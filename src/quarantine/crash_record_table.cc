#include "quarantine/crash_record_table.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// Records with the lowest rank are evicted first: suspects before those in
// quarantine, those of a single crash before others, and within each of these
// groups the record that expires first. Requests that are never alike leave
// many records of a single crash.
auto RetentionRank(const CrashRecord& record, std::int64_t now_unix_ms) {
  const CrashVerdict verdict = Judge(record, now_unix_ms);
  return std::make_tuple(verdict.in_quarantine, record.crashes.size() > 1,
                         verdict.forget_ms);
}

}  // namespace

bool CrashRecordTable::Apply(const CrashRecord& record,
                             std::int64_t now_unix_ms) {
  if (Judge(record, now_unix_ms).forget_ms <= now_unix_ms) {
    return false;
  }
  Records& records = this->workspaces[record.id.workspace];
  const auto [found, is_new] = records.try_emplace(record.id.content);
  found->second.id = record.id;
  this->size += is_new ? 1 : 0;
  if (!Merge(record, &found->second)) {
    return false;
  }
  ++this->version;
  const CrashRecord changed = found->second;
  this->EvictIfFull(record.id, now_unix_ms);
  for (const Listener& listener : this->listeners) {
    listener(changed);
  }
  return true;
}

bool CrashRecordTable::HasSuspects(std::string_view workspace) const {
  const auto found = this->workspaces.find(workspace);
  return found != this->workspaces.end() &&
         std::any_of(
             found->second.begin(), found->second.end(), [](const auto& entry) {
               return entry.second.part.empty() && IsSuspect(entry.second);
             });
}

const CrashRecord* CrashRecordTable::Find(const CrashRecordId& id) const {
  const auto records = this->workspaces.find(id.workspace);
  if (records == this->workspaces.end()) {
    return nullptr;
  }
  const auto found = records->second.find(id.content);
  return found == records->second.end() ? nullptr : &found->second;
}

void CrashRecordTable::DropExpired(std::int64_t now_unix_ms) {
  ++this->version;
  for (auto& [workspace, records] : this->workspaces) {
    this->size -= std::erase_if(records, [now_unix_ms](const auto& entry) {
      return Judge(entry.second, now_unix_ms).forget_ms <= now_unix_ms;
    });
  }
  std::erase_if(this->workspaces,
                [](const auto& entry) { return entry.second.empty(); });
}

std::vector<const CrashRecord*> CrashRecordTable::All() const {
  std::vector<const CrashRecord*> all;
  for (const auto& [workspace, records] : this->workspaces) {
    for (const auto& [content, record] : records) {
      all.push_back(&record);
    }
  }
  return all;
}

std::vector<const CrashRecord*> CrashRecordTable::PartRecords() const {
  std::vector<const CrashRecord*> records = this->All();
  std::erase_if(records,
                [](const CrashRecord* record) { return record->part.empty(); });
  return records;
}

std::uint64_t CrashRecordTable::Digest() const {
  std::string text;
  for (const CrashRecord* const record : this->All()) {
    absl::StrAppend(&text, record->id.workspace, "\n", record->id.content, "\n",
                    record->cleared_ms, " ", record->kept_ms, "\n");
    for (const ServerCrash& crash : record->crashes) {
      absl::StrAppend(&text, crash.server, " ", crash.before_any_answer ? 1 : 0,
                      " ", crash.unix_ms, crash.ran_before ? " r\n" : "\n");
    }
  }
  return XXH3_64bits(text.data(), text.size());
}

// If the total is too high, evicts a record of the workspace that has the most,
// so that no workspace can evict the records of the others.
void CrashRecordTable::EvictIfFull(const CrashRecordId& exempt,
                                   std::int64_t now_unix_ms) {
  if (this->workspaces[exempt.workspace].size() > this->limits.per_workspace) {
    this->EvictLeastImportant(exempt.workspace, exempt, now_unix_ms);
  }
  if (this->size > this->limits.total) {
    this->EvictLeastImportant(this->LargestWorkspace(), exempt, now_unix_ms);
  }
}

std::string CrashRecordTable::LargestWorkspace() const {
  const auto largest =
      std::max_element(this->workspaces.begin(), this->workspaces.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.size() < b.second.size();
                       });
  return largest->first;
}

void CrashRecordTable::EvictLeastImportant(std::string_view workspace,
                                           const CrashRecordId& exempt,
                                           std::int64_t now_unix_ms) {
  const auto found = this->workspaces.find(workspace);
  Records& records = found->second;
  auto lowest = records.end();
  for (auto entry = records.begin(); entry != records.end(); ++entry) {
    const bool is_lower = lowest == records.end() ||
                          RetentionRank(entry->second, now_unix_ms) <
                              RetentionRank(lowest->second, now_unix_ms);
    if (entry->second.id != exempt && is_lower) {
      lowest = entry;
    }
  }
  if (lowest == records.end()) {
    return;
  }
  LogLine("crash-record-dropped")
      .Add("workspace", workspace)
      .Add("content", lowest->first)
      .Add("records", this->size)
      .WriteImportant();
  records.erase(lowest);
  ++this->version;
  --this->size;
  if (records.empty()) {
    this->workspaces.erase(found);
  }
}

}  // namespace meadowthread
