#ifndef MEADOWTHREAD_QUARANTINE_CRASH_BOOK_H_
#define MEADOWTHREAD_QUARANTINE_CRASH_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "quarantine/crash_record.h"

namespace meadowthread {

/// @brief How many records a host keeps.
struct CrashBookBounds {
  /// Of one workspace: what it sends takes nothing from the others.
  std::size_t of_workspace = 64;
  std::size_t of_all = 1'024;
};

/// @brief The records that a host has, bounded in number and in age.
class CrashBook {
 public:
  /// Told of each record that has something new.
  using Listener = std::function<void(const CrashRecord&)>;

  explicit CrashBook(CrashBookBounds bounds = {}) : bounds(bounds) {}

  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief Takes over what a record knows.
  /// @return whether anything was new
  bool Take(const CrashRecord& record, std::int64_t now_unix_ms);

  /// @brief Whether anything speaks against one of a workspace's contents: only
  /// then a content need be looked for.
  bool HasSuspects(std::string_view workspace) const;

  /// @brief Null where nothing is known.
  const CrashRecord* Find(const CrashRecordId& id) const;

  /// @brief Drops what nothing depends on any more.
  void Forget(std::int64_t now_unix_ms);

  /// @brief All records, by workspace and content.
  std::vector<const CrashRecord*> All() const;

  std::size_t Size() const { return this->size; }

  /// @brief The same for books that know the same.
  std::uint64_t Digest() const;

 private:
  using Records = std::map<std::string, CrashRecord, std::less<>>;

  void MakeRoom(const CrashRecordId& kept, std::int64_t now_unix_ms);
  void DropLeast(std::string_view workspace, const CrashRecordId& kept,
                 std::int64_t now_unix_ms);
  std::string FullestWorkspace() const;

  CrashBookBounds bounds;
  std::map<std::string, Records, std::less<>> workspaces;
  std::size_t size = 0;
  std::vector<Listener> listeners;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_BOOK_H_
