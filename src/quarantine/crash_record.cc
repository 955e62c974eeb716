#include "quarantine/crash_record.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Three crashes before any output lead to quarantine, or four if there was
// output before some of them. Two may be coincidence: if a sixth of the servers
// stop at once again and again, two successive attempts at a request both lose
// their server once in forty times, and three once in two hundred.
constexpr int kQuarantinePoints = 12;
constexpr int kPointsBeforeAnswer = 4;
constexpr int kPointsAfterAnswer = 3;
// A part of prompts is suspected under every crash of a server that was
// beginning to run a request with it. Six crashes lead to quarantine if it had
// gone well before, as servers may also crash for other reasons.
constexpr int kPointsOfPart = 4;
constexpr int kPointsOfPartThatRanBefore = 2;
// Crashes of a part that follow each other sooner count as one: several servers
// that stop at the same moment may all be running requests with it.
constexpr std::int64_t kMinPartCrashGapMs = 300;
// Crashes of a content that are further apart than this are not counted
// together. Callers wait for the result, so their retries arrive within
// minutes.
constexpr std::int64_t kSuspectMs = 600'000;
// Length of the first quarantine. A new engine version that fixes the crash
// takes hours, but a request that was quarantined by mistake must not be
// rejected for longer than this.
constexpr std::int64_t kFirstQuarantineMs = 600'000;
// Each further quarantine is twice as long as the last, up to most of a day.
constexpr int kMaxDoublings = 7;
// Within this time after a quarantine a single crash leads to the next one.
constexpr std::int64_t kProbationMs = 3'600'000;
// Enough crashes for all quarantines up to the longest; if there are more, the
// oldest are dropped.
constexpr std::size_t kMaxCrashes = 16;

std::int64_t QuarantineMs(int strikes) {
  return kFirstQuarantineMs << std::min(strikes - 1, kMaxDoublings);
}

/// @brief Adds up the crashes of a content, which must be passed in the order
/// of their times.
struct Tally {
  bool is_of_part = false;
  int points = 0;
  int strikes = 0;
  std::int64_t last_ms = 0;   ///< time of the last crash that counted
  std::int64_t until_ms = 0;  ///< end of the last quarantine

  void Add(const ServerCrash& crash) {
    if (crash.unix_ms < this->until_ms) {
      return;  // that run had begun before the quarantine
    }
    if (this->is_of_part &&
        crash.unix_ms - this->last_ms < kMinPartCrashGapMs) {
      return;
    }
    const bool is_old = this->strikes == 0
                            ? crash.unix_ms - this->last_ms > kSuspectMs
                            : crash.unix_ms - this->until_ms > kProbationMs;
    if (is_old) {
      *this = Tally{this->is_of_part};
    }
    this->points += this->PointsOf(crash);
    this->last_ms = crash.unix_ms;
    if (this->points < kQuarantinePoints && this->strikes == 0) {
      return;
    }
    ++this->strikes;
    this->until_ms = crash.unix_ms + QuarantineMs(this->strikes);
  }

  int PointsOf(const ServerCrash& crash) const {
    if (this->is_of_part) {
      return crash.ran_before ? kPointsOfPartThatRanBefore : kPointsOfPart;
    }
    return crash.before_any_answer ? kPointsBeforeAnswer : kPointsAfterAnswer;
  }
};

void Prune(CrashRecord* record) {
  std::erase_if(record->crashes, [record](const ServerCrash& crash) {
    return crash.unix_ms <= record->cleared_ms;
  });
  if (record->crashes.size() > kMaxCrashes) {
    record->crashes.erase(
        record->crashes.begin(),
        record->crashes.end() - static_cast<std::ptrdiff_t>(kMaxCrashes));
  }
}

// Several runs of the content may have been on the server when it crashed,
// which counts as one crash. Its time is the earliest one reported, and it
// counts as before any output if that holds for any of the runs.
void MergeCrash(const ServerCrash& crash, CrashRecord* record) {
  const auto known =
      std::find_if(record->crashes.begin(), record->crashes.end(),
                   [&crash](const ServerCrash& existing) {
                     return existing.server == crash.server;
                   });
  if (known == record->crashes.end()) {
    record->crashes.push_back(crash);
    return;
  }
  known->before_any_answer |= crash.before_any_answer;
  known->ran_before |= crash.ran_before;
  known->unix_ms = std::min(known->unix_ms, crash.unix_ms);
}

}  // namespace

CrashVerdict Judge(const CrashRecord& record, std::int64_t now_unix_ms) {
  Tally tally{!record.part.empty()};
  for (const ServerCrash& crash : record.crashes) {
    if (crash.unix_ms > record.cleared_ms) {
      tally.Add(crash);
    }
  }
  CrashVerdict verdict;
  verdict.strikes = tally.strikes;
  verdict.until_ms = tally.until_ms;
  verdict.forget_ms = tally.strikes > 0 ? tally.until_ms + kProbationMs
                                        : tally.last_ms + kSuspectMs;
  // Keeps a cleared record for kSuspectMs, because hosts that have not received
  // cleared_ms yet may still send the old crashes.
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
  for (const ServerCrash& crash : record.crashes) {
    servers += servers.empty() ? "" : ",";
    servers += crash.server;
  }
  return servers;
}

bool Merge(const CrashRecord& other, CrashRecord* record) {
  const CrashRecord before = *record;
  if (record->request.empty()) {
    record->route = other.route;
    record->request = other.request;
  }
  if (record->part.empty()) {
    record->part = other.part;
  }
  record->cleared_ms = std::max(record->cleared_ms, other.cleared_ms);
  record->kept_ms = std::max(record->kept_ms, other.kept_ms);
  for (const ServerCrash& crash : other.crashes) {
    MergeCrash(crash, record);
  }
  std::sort(record->crashes.begin(), record->crashes.end(),
            [](const ServerCrash& a, const ServerCrash& b) {
              return a.unix_ms != b.unix_ms ? a.unix_ms < b.unix_ms
                                            : a.server < b.server;
            });
  Prune(record);
  return before.part != record->part || before.crashes != record->crashes ||
         before.cleared_ms != record->cleared_ms ||
         before.kept_ms != record->kept_ms;
}

}  // namespace meadowthread
