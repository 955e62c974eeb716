#include "quarantine/crash_book.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// What is dropped first where there is no room: suspects before contents in
// quarantine, and of each what is over first.
auto ValueOf(const CrashRecord& record, std::int64_t now_unix_ms) {
  const CrashVerdict verdict = Judge(record, now_unix_ms);
  return std::make_tuple(verdict.in_quarantine, verdict.forget_ms);
}

}  // namespace

bool CrashBook::Take(const CrashRecord& record, std::int64_t now_unix_ms) {
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
  const CrashRecord changed = found->second;
  this->MakeRoom(record.id, now_unix_ms);
  for (const Listener& listener : this->listeners) {
    listener(changed);
  }
  return true;
}

bool CrashBook::HasSuspects(std::string_view workspace) const {
  const auto found = this->workspaces.find(workspace);
  return found != this->workspaces.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [](const auto& one) { return IsSuspect(one.second); });
}

const CrashRecord* CrashBook::Find(const CrashRecordId& id) const {
  const auto records = this->workspaces.find(id.workspace);
  if (records == this->workspaces.end()) {
    return nullptr;
  }
  const auto found = records->second.find(id.content);
  return found == records->second.end() ? nullptr : &found->second;
}

void CrashBook::Forget(std::int64_t now_unix_ms) {
  for (auto& [workspace, records] : this->workspaces) {
    this->size -= std::erase_if(records, [now_unix_ms](const auto& one) {
      return Judge(one.second, now_unix_ms).forget_ms <= now_unix_ms;
    });
  }
  std::erase_if(this->workspaces,
                [](const auto& one) { return one.second.empty(); });
}

std::vector<const CrashRecord*> CrashBook::All() const {
  std::vector<const CrashRecord*> all;
  for (const auto& [workspace, records] : this->workspaces) {
    for (const auto& [content, record] : records) {
      all.push_back(&record);
    }
  }
  return all;
}

std::uint64_t CrashBook::Digest() const {
  std::string text;
  for (const CrashRecord* const record : this->All()) {
    absl::StrAppend(&text, record->id.workspace, "\n", record->id.content, "\n",
                    record->cleared_ms, " ", record->kept_ms, "\n");
    for (const ServerEnd& end : record->ends) {
      absl::StrAppend(&text, end.server, " ", end.before_any_answer ? 1 : 0,
                      " ", end.unix_ms, "\n");
    }
  }
  return XXH3_64bits(text.data(), text.size());
}

// The workspace that has most gives way, so that one can't drive out another's.
void CrashBook::MakeRoom(const CrashRecordId& kept, std::int64_t now_unix_ms) {
  if (this->workspaces[kept.workspace].size() > this->bounds.of_workspace) {
    this->DropLeast(kept.workspace, kept, now_unix_ms);
  }
  if (this->size > this->bounds.of_all) {
    this->DropLeast(this->FullestWorkspace(), kept, now_unix_ms);
  }
}

std::string CrashBook::FullestWorkspace() const {
  const auto fullest =
      std::max_element(this->workspaces.begin(), this->workspaces.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.size() < b.second.size();
                       });
  return fullest->first;
}

void CrashBook::DropLeast(std::string_view workspace, const CrashRecordId& kept,
                          std::int64_t now_unix_ms) {
  const auto found = this->workspaces.find(workspace);
  Records& records = found->second;
  auto least = records.end();
  for (auto one = records.begin(); one != records.end(); ++one) {
    const bool is_less =
        least == records.end() ||
        ValueOf(one->second, now_unix_ms) < ValueOf(least->second, now_unix_ms);
    if (one->second.id != kept && is_less) {
      least = one;
    }
  }
  if (least == records.end()) {
    return;
  }
  LogLine("crash-record-dropped")
      .Add("workspace", workspace)
      .Add("content", least->first)
      .Add("records", this->size)
      .WriteImportant();
  records.erase(least);
  --this->size;
  if (records.empty()) {
    this->workspaces.erase(found);
  }
}

}  // namespace meadowthread
