#ifndef MEADOWTHREAD_ROLLOUT_VERSION_JUDGE_H_
#define MEADOWTHREAD_ROLLOUT_VERSION_JUDGE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "rollout/fleet_answers.h"

namespace meadowthread {

/// @brief What the answers say about the target version of a rollout.
enum class VersionQuality {
  kUnclear,  ///< too few answers
  kSound,    ///< enough answers, and no worse than those of other versions
  kBad,
};

/// @brief In what the target version is worse than the others.
enum class VersionFault {
  kNone,
  kFailures,     ///< more attempts fail
  kSlowAnswers,  ///< answers or first events take several times as long
  kSlowStreams,  ///< events follow each other several times as slowly
};

/// @brief The fault's name in log lines.
std::string_view VersionFaultName(VersionFault fault);

/// @brief A judgement with its evidence.
struct VersionVerdict {
  VersionQuality quality = VersionQuality::kUnclear;
  VersionFault fault = VersionFault::kNone;
  std::string route;          ///< on which it showed; empty: over all routes
  std::int64_t bad = 0;       ///< bad answers of the target version
  std::int64_t answers = 0;   ///< answers of the target version
  double expected_bad = 0.0;  ///< if it were as good as the other versions
};

/// @brief Compares how a target version answered with how the other versions
/// did, on each route and over all.
/// @complexity O(routes)
VersionVerdict JudgeVersion(const AnswersByRoute& answers);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_VERSION_JUDGE_H_
