#include "quarantine/crash_record.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Three ends before any answer are enough, or four of which some had begun to
// answer. Two may be bad luck: where a sixth of the servers end at once, a
// request that comes again meets two such ends in a row once in forty times,
// and three once in two hundred.
constexpr int kEnoughPoints = 12;
constexpr int kPointsBeforeAnswer = 4;
constexpr int kPointsWithAnswer = 3;
// A content that comes again does so within minutes: its callers wait for it.
constexpr std::int64_t kSuspectMs = 600'000;
// Engines are mended by a new version, which takes hours; a caller whose
// request is turned away for no good reason waits for no longer than this.
constexpr std::int64_t kFirstQuarantineMs = 600'000;
// After each further one twice as long, up to most of a day.
constexpr int kMostDoublings = 7;
// So long after a quarantine one more end is enough for the next.
constexpr std::int64_t kProbationMs = 3'600'000;
// Enough for every quarantine up to the longest to show; of more, the oldest
// of those that count go.
constexpr std::size_t kMostEnds = 16;

std::int64_t QuarantineMs(int strikes) {
  return kFirstQuarantineMs << std::min(strikes - 1, kMostDoublings);
}

/// @brief What the ends up to some time come to.
struct Tally {
  int points = 0;
  int strikes = 0;
  std::int64_t last_ms = 0;   ///< the last end that counted
  std::int64_t until_ms = 0;  ///< of the last quarantine

  void Take(const ServerEnd& end) {
    if (end.unix_ms < this->until_ms) {
      return;  // it was under way when the quarantine began
    }
    const bool is_old = this->strikes == 0
                            ? end.unix_ms - this->last_ms > kSuspectMs
                            : end.unix_ms - this->until_ms > kProbationMs;
    if (is_old) {
      *this = Tally();
    }
    this->points +=
        end.before_any_answer ? kPointsBeforeAnswer : kPointsWithAnswer;
    this->last_ms = end.unix_ms;
    if (this->points < kEnoughPoints && this->strikes == 0) {
      return;
    }
    ++this->strikes;
    this->until_ms = end.unix_ms + QuarantineMs(this->strikes);
  }
};

void Prune(CrashRecord* record) {
  std::erase_if(record->ends, [record](const ServerEnd& end) {
    return end.unix_ms <= record->cleared_ms;
  });
  if (record->ends.size() > kMostEnds) {
    record->ends.erase(
        record->ends.begin(),
        record->ends.end() - static_cast<std::ptrdiff_t>(kMostEnds));
  }
}

// Several of its runs may have been there; the strongest evidence stands.
void TakeEnd(const ServerEnd& end, CrashRecord* record) {
  const auto known = std::find_if(
      record->ends.begin(), record->ends.end(),
      [&end](const ServerEnd& one) { return one.server == end.server; });
  if (known == record->ends.end()) {
    record->ends.push_back(end);
    return;
  }
  known->before_any_answer |= end.before_any_answer;
  known->unix_ms = std::min(known->unix_ms, end.unix_ms);
}

}  // namespace

CrashVerdict Judge(const CrashRecord& record, std::int64_t now_unix_ms) {
  Tally tally;
  for (const ServerEnd& end : record.ends) {
    if (end.unix_ms > record.cleared_ms) {
      tally.Take(end);
    }
  }
  CrashVerdict verdict;
  verdict.strikes = tally.strikes;
  verdict.until_ms = tally.until_ms;
  verdict.forget_ms = tally.strikes > 0 ? tally.until_ms + kProbationMs
                                        : tally.last_ms + kSuspectMs;
  // Hosts that have not heard of it yet may tell the old ends again.
  verdict.forget_ms =
      std::max(verdict.forget_ms, record.cleared_ms + kSuspectMs);
  verdict.in_quarantine = now_unix_ms < tally.until_ms;
  if (record.kept_ms > record.cleared_ms) {
    verdict.in_quarantine = true;
    verdict.until_ms =
        std::max(verdict.until_ms, now_unix_ms + kFirstQuarantineMs);
    verdict.forget_ms = verdict.until_ms + kProbationMs;
  }
  return verdict;
}

std::string ServersText(const CrashRecord& record) {
  std::string servers;
  for (const ServerEnd& end : record.ends) {
    servers += servers.empty() ? "" : ",";
    servers += end.server;
  }
  return servers;
}

bool Merge(const CrashRecord& other, CrashRecord* record) {
  const CrashRecord before = *record;
  if (record->request.empty()) {
    record->route = other.route;
    record->request = other.request;
  }
  record->cleared_ms = std::max(record->cleared_ms, other.cleared_ms);
  record->kept_ms = std::max(record->kept_ms, other.kept_ms);
  for (const ServerEnd& end : other.ends) {
    TakeEnd(end, record);
  }
  std::sort(record->ends.begin(), record->ends.end(),
            [](const ServerEnd& a, const ServerEnd& b) {
              return a.unix_ms != b.unix_ms ? a.unix_ms < b.unix_ms
                                            : a.server < b.server;
            });
  Prune(record);
  return before.ends != record->ends ||
         before.cleared_ms != record->cleared_ms ||
         before.kept_ms != record->kept_ms;
}

}  // namespace meadowthread
