#ifndef MEADOWTHREAD_QUARANTINE_CRASH_RECORD_H_
#define MEADOWTHREAD_QUARANTINE_CRASH_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief The unannounced end of a backend server process while it ran a
/// request with a given content.
struct ServerCrash {
  std::string server;  ///< key of the server process, see Backend::key
  /// The run had produced no output when the server crashed. A run that had
  /// produced output is less likely to have caused the crash.
  bool before_any_answer = false;
  std::int64_t unix_ms = 0;
  /// For a part of prompts: runs with it had gone well before, so that it is
  /// less likely to have caused the crash.
  bool ran_before = false;

  friend bool operator==(const ServerCrash&, const ServerCrash&) = default;
};

/// @brief Key of a record.
struct CrashRecordId {
  std::string workspace;
  /// Key of the request content, or of the part of prompts.
  std::string content;

  // False positive of the linter on defaulted comparisons.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const CrashRecordId&, const CrashRecordId&) = default;
};

/// @brief The crashes of servers that ran requests with one content, or with
/// one part in their prompts, and whether it was cleared or is kept in
/// quarantine.
///
/// A conflict-free replicated data type: merging only adds crashes and advances
/// times. Hosts end up with equal records in whatever order updates arrive,
/// even if some arrive late or twice.
struct CrashRecord {
  CrashRecordId id;
  /// ID of the part of prompts that the record is about; empty: it is about a
  /// whole content.
  std::string part;
  /// Route or template of one of the requests, for operators.
  std::string route;
  std::string request;  ///< id of one of the requests, for operators
  std::vector<ServerCrash> crashes;  ///< crashes by time, one per server
  /// Unix ms at which a run of the content last completed or an operator last
  /// lifted its quarantine; 0: never. Crashes up to this time do not count.
  std::int64_t cleared_ms = 0;
  /// Unix ms since which an operator keeps the content in quarantine; 0: not at
  /// all. Has no effect unless later than cleared_ms.
  std::int64_t kept_ms = 0;

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/// @brief Whether crashes count against the content, or an operator keeps it in
/// quarantine.
inline bool IsSuspect(const CrashRecord& record) {
  return !record.crashes.empty() || record.kept_ms > record.cleared_ms;
}

/// @brief Time until which runs that went well clear a record. They don't end
/// an operator's decision to keep it in quarantine.
inline std::int64_t ClearableUntilMs(const CrashRecord& record,
                                     std::int64_t until_ms) {
  return record.kept_ms > record.cleared_ms
             ? std::min(until_ms, record.kept_ms - 1)
             : until_ms;
}

/// @brief Whether a content is in quarantine at some time, and until when.
struct CrashVerdict {
  bool in_quarantine = false;
  /// Unix ms at which the content may be tried again; only while in quarantine.
  std::int64_t until_ms = 0;
  int strikes = 0;  ///< number of quarantines so far
  /// Unix ms at which the record expires.
  std::int64_t forget_ms = 0;
};

/// @brief Computes the verdict on a record. It depends on the record and the
/// time only, so that hosts with equal records reach the same verdict.
/// @complexity linear in the crashes
CrashVerdict Judge(const CrashRecord& record, std::int64_t now_unix_ms);

/// @brief Keys of the servers that crashed, by time, separated by commas.
std::string ServersText(const CrashRecord& record);

/// @brief Merges another record of the same content into `record`.
/// @return whether anything was new
/// @complexity O(n log n) in the crashes of both records
bool Merge(const CrashRecord& other, CrashRecord* record);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_RECORD_H_
