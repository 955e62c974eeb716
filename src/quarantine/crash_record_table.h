#ifndef MEADOWTHREAD_QUARANTINE_CRASH_RECORD_TABLE_H_
#define MEADOWTHREAD_QUARANTINE_CRASH_RECORD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "quarantine/crash_record.h"

namespace meadowthread {

/// @brief Maximum number of crash records that a host keeps.
struct CrashRecordLimits {
  /// Limit for each workspace, so that no workspace can evict the records of
  /// the others.
  std::size_t per_workspace = 64;
  std::size_t total = 1'024;
};

/// @brief The crash records that a host knows, bounded in number and in age.
class CrashRecordTable {
 public:
  /// Called with each record that is new or has changed.
  using Listener = std::function<void(const CrashRecord&)>;

  explicit CrashRecordTable(CrashRecordLimits limits = {}) : limits(limits) {}

  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief Adds a record, or merges it into the one of the same content.
  /// @return whether anything was new; false for an expired record
  bool Apply(const CrashRecord& record, std::int64_t now_unix_ms);

  /// @brief Whether any request content of a workspace is suspected; parts of
  /// prompts don't count. If not, callers need not compute content keys.
  bool HasSuspects(std::string_view workspace) const;

  /// @return null if there is no record
  const CrashRecord* Find(const CrashRecordId& id) const;

  /// @brief Drops expired records.
  void DropExpired(std::int64_t now_unix_ms);

  /// @brief All records, ordered by workspace and content key.
  std::vector<const CrashRecord*> All() const;

  /// @brief The records of parts of prompts.
  std::vector<const CrashRecord*> PartRecords() const;

  /// @brief Changes with the records.
  std::uint64_t Version() const { return this->version; }

  std::size_t Size() const { return this->size; }

  /// @brief Hash over all records; equal on hosts whose records are equal.
  std::uint64_t Digest() const;

 private:
  using Records = std::map<std::string, CrashRecord, std::less<>>;

  /// @param[in] exempt the record that must not be evicted
  void EvictIfFull(const CrashRecordId& exempt, std::int64_t now_unix_ms);
  void EvictLeastImportant(std::string_view workspace,
                           const CrashRecordId& exempt,
                           std::int64_t now_unix_ms);
  std::string LargestWorkspace() const;

  CrashRecordLimits limits;
  std::map<std::string, Records, std::less<>> workspaces;
  std::size_t size = 0;
  std::uint64_t version = 0;
  std::vector<Listener> listeners;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_RECORD_TABLE_H_
