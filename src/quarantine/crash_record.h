#ifndef MEADOWTHREAD_QUARANTINE_CRASH_RECORD_H_
#define MEADOWTHREAD_QUARANTINE_CRASH_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief The end of one start of a backend server, that nobody had announced,
/// while it had a run of a content.
struct ServerEnd {
  std::string server;  ///< key of that start, see Backend
  /// Nothing had come of the run. One that had begun to answer is rather a
  /// bystander.
  bool before_any_answer = false;
  std::int64_t unix_ms = 0;

  friend bool operator==(const ServerEnd&, const ServerEnd&) = default;
};

/// @brief Names a record.
struct CrashRecordId {
  std::string workspace;
  std::string content;  ///< see ContentKeyOf

  // The linter takes the defaulted comparison for a null pointer's.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const CrashRecordId&, const CrashRecordId&) = default;
};

/// @brief All that is known of a content under which servers have ended.
///
/// Every part only grows, so that hosts may learn the parts in any order, twice
/// or late, and come to the same.
struct CrashRecord {
  CrashRecordId id;
  std::string route;            ///< or template, of a try: for operators
  std::string request;          ///< id of a try: for operators
  std::vector<ServerEnd> ends;  ///< by time; one for each server
  /// A run came to a good end, or an operator lifted the quarantine, at that
  /// time: ends before it speak against the content no more. 0: never.
  std::int64_t cleared_ms = 0;
  /// An operator keeps it in quarantine since then, Unix ms; 0: none does.
  std::int64_t kept_ms = 0;

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/// @brief Whether anything speaks against the content now.
inline bool IsSuspect(const CrashRecord& record) {
  return !record.ends.empty() || record.kept_ms > record.cleared_ms;
}

/// @brief What follows from a record at some time.
struct CrashVerdict {
  bool in_quarantine = false;
  /// Unix ms at which it may be tried again; only while in quarantine.
  std::int64_t until_ms = 0;
  int strikes = 0;  ///< quarantines so far
  /// Unix ms from which on nothing depends on the record any more.
  std::int64_t forget_ms = 0;
};

/// @brief Decides on a record: a function of nothing else, so that all hosts
/// that know the same decide the same.
/// @complexity linear in the ends
CrashVerdict Judge(const CrashRecord& record, std::int64_t now_unix_ms);

/// @brief The servers that ended, by time, with commas between them.
std::string ServersText(const CrashRecord& record);

/// @brief Takes over what another record of the same content knows.
/// @return whether anything was new
/// @complexity linear in the ends of both, times the logarithm
bool Merge(const CrashRecord& other, CrashRecord* record);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_RECORD_H_
