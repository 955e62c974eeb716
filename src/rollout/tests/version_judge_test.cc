// When the answers of a version call it bad, and when they call it sound.
#include "rollout/version_judge.h"

#include <criterion/criterion.h>

#include <random>

namespace meadowthread {
namespace {

/// @brief Answers of which a share fails, all after the same time.
AnswerCounts Answers(std::int64_t answers, std::int64_t failed,
                     std::int64_t took_ms) {
  AnswerCounts counts;
  counts.answers = answers;
  counts.failed = failed;
  for (std::int64_t n = 0; n < answers - failed; ++n) {
    counts.first.Add(took_ms);
  }
  return counts;
}

Test(a_version, that_fails_far_more_often_than_others_is_bad) {
  const VersionVerdict verdict =
      JudgeVersion({{"a", {Answers(20, 8, 100), Answers(200, 2, 100)}}});
  cr_assert(verdict.quality == VersionQuality::kBad);
  cr_assert(verdict.fault == VersionFault::kFailures);
  cr_assert(verdict.route == "a" && verdict.bad == 8);
}

Test(a_version, that_fails_as_often_as_others_is_sound) {
  cr_assert(JudgeVersion({{"a", {Answers(50, 7, 100), Answers(500, 70, 100)}}})
                .quality == VersionQuality::kSound);
}

Test(a_version, that_takes_several_times_as_long_is_bad) {
  const VersionVerdict verdict =
      JudgeVersion({{"a", {Answers(12, 0, 500), Answers(100, 0, 100)}}});
  cr_assert(verdict.quality == VersionQuality::kBad);
  cr_assert(verdict.fault == VersionFault::kSlowAnswers);
}

Test(a_version, that_is_bad_on_one_route_only_is_bad) {
  const VersionVerdict verdict =
      JudgeVersion({{"a", {Answers(100, 1, 100), Answers(1'000, 10, 100)}},
                    {"b", {Answers(12, 6, 100), Answers(120, 1, 100)}}});
  cr_assert(verdict.quality == VersionQuality::kBad && verdict.route == "b");
}

Test(a_version, that_is_a_little_bad_on_each_route_is_bad) {
  AnswersByRoute answers;
  for (const char* const route : {"a", "b", "c", "d"}) {
    answers[route] = {Answers(10, 3, 100), Answers(100, 0, 100)};
  }
  const VersionVerdict verdict = JudgeVersion(answers);
  cr_assert(verdict.quality == VersionQuality::kBad);
  cr_assert(verdict.route.empty());
}

Test(a_version, with_few_answers_is_unclear) {
  cr_assert(JudgeVersion({}).quality == VersionQuality::kUnclear);
  cr_assert(JudgeVersion({{"a", {Answers(5, 0, 100), Answers(100, 0, 100)}}})
                .quality == VersionQuality::kUnclear);
}

Test(a_version, without_answers_on_a_busy_route_is_unclear) {
  cr_assert(JudgeVersion({{"a", {Answers(30, 0, 100), Answers(100, 0, 100)}},
                          {"b", {Answers(0, 0, 100), Answers(100, 0, 100)}}})
                .quality == VersionQuality::kUnclear);
}

// The counts are judged several times a second.
Test(a_version, that_is_as_good_as_others_is_rarely_called_bad) {
  std::mt19937_64 random(3);
  std::uniform_real_distribution<> chance;
  std::lognormal_distribution<> took(5.0, 0.6);
  int called_bad = 0;
  constexpr int kRollouts = 300;
  for (int rollout = 0; rollout < kRollouts; ++rollout) {
    AnswersByRoute answers;
    for (int n = 0; n < 600; ++n) {
      RouteAnswers& route = answers[n % 3 == 0 ? "a" : "b"];
      AnswerCounts& side = n % 10 == 0 ? route.target : route.others;
      ++side.answers;
      if (chance(random) < 0.14) {
        ++side.failed;
      } else {
        side.first.Add(static_cast<std::int64_t>(took(random)));
      }
      if (n % 10 == 0 &&
          JudgeVersion(answers).quality == VersionQuality::kBad) {
        ++called_bad;
        break;
      }
    }
  }
  cr_assert(called_bad <= kRollouts / 100, "%d", called_bad);
}

}  // namespace
}  // namespace meadowthread
