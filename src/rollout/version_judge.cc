#include "rollout/version_judge.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <vector>

namespace meadowthread {
namespace {

// A version is bad if as many bad answers would be this improbable of one that
// is as good as the others. Low, as the counts are judged many times, on
// several routes.
constexpr double kMaxChance = 1e-5;
constexpr std::int64_t kMinBadAnswers = 3;
// How much worse than the other versions still counts as equal: the target's
// servers have just started.
constexpr double kToleratedRatio = 1.25;
constexpr double kToleratedShare = 0.01;
constexpr double kMaxShare = 0.9;
// An answer is slow from this many size classes above the median of the other
// versions, i.e. if it took more than about three times as long.
constexpr std::size_t kSlowClasses = 3;
// With fewer answers of other versions on a route there is nothing to go by.
constexpr std::int64_t kMinOthers = 10;
// The usual share of bad answers is estimated as if so many further answers had
// been seen, with this share of bad ones: none seen yet does not mean none.
constexpr double kPriorAnswers = 4.0;
constexpr double kPriorShare = 0.03;
// Answers of the target version without which it is not called sound, in all
// and on each route with a fair part of the requests.
constexpr std::int64_t kMinAnswers = 12;
constexpr std::int64_t kMinRouteAnswers = 3;
constexpr double kFairPart = 0.15;

/// @brief Bad answers among all answers of a kind.
struct BadCount {
  std::int64_t bad = 0;
  std::int64_t total = 0;
};

/// @brief One comparison between the target and the other versions.
struct Comparison {
  VersionFault fault = VersionFault::kNone;
  BadCount target;
  double expected_share = 0.0;  ///< of bad answers, for a sound target
};

double ToleratedShare(const BadCount& others) {
  const double share =
      (static_cast<double>(others.bad) + kPriorAnswers * kPriorShare) /
      (static_cast<double>(others.total) + kPriorAnswers);
  return std::min(kMaxShare, share * kToleratedRatio + kToleratedShare);
}

bool IsWorse(const Comparison& one) {
  if (one.target.bad < kMinBadAnswers || one.expected_share <= 0.0) {
    return false;
  }
  const boost::math::binomial_distribution<> sound(
      static_cast<double>(one.target.total), one.expected_share);
  const double chance = boost::math::cdf(
      boost::math::complement(sound, static_cast<double>(one.target.bad - 1)));
  return chance < kMaxChance;
}

void CompareDurations(VersionFault fault, const DurationCounts& target,
                      const DurationCounts& others,
                      std::vector<Comparison>* comparisons) {
  if (others.Total() < kMinOthers) {
    return;
  }
  const std::size_t slow = others.MedianClass() + kSlowClasses;
  comparisons->push_back(
      {fault,
       {target.CountFrom(slow), target.Total()},
       ToleratedShare({others.CountFrom(slow), others.Total()})});
}

std::vector<Comparison> Compare(const RouteAnswers& route) {
  std::vector<Comparison> comparisons;
  if (route.others.answers >= kMinOthers) {
    comparisons.push_back(
        {VersionFault::kFailures,
         {route.target.failed, route.target.answers},
         ToleratedShare({route.others.failed, route.others.answers})});
  }
  CompareDurations(VersionFault::kSlowAnswers, route.target.first,
                   route.others.first, &comparisons);
  CompareDurations(VersionFault::kSlowStreams, route.target.gap,
                   route.others.gap, &comparisons);
  return comparisons;
}

// Adds a route's comparison to the one over all routes.
void AddTo(const Comparison& one, std::vector<Comparison>* all) {
  auto found = std::find_if(
      all->begin(), all->end(),
      [&one](const Comparison& known) { return known.fault == one.fault; });
  if (found == all->end()) {
    all->push_back({one.fault, {}, 0.0});
    found = std::prev(all->end());
  }
  const double expected =
      found->expected_share * static_cast<double>(found->target.total) +
      one.expected_share * static_cast<double>(one.target.total);
  found->target.bad += one.target.bad;
  found->target.total += one.target.total;
  found->expected_share =
      found->target.total == 0
          ? 0.0
          : expected / static_cast<double>(found->target.total);
}

bool HasEnoughAnswers(const AnswersByRoute& answers) {
  std::int64_t target = 0;
  std::int64_t others = 0;
  for (const auto& [name, route] : answers) {
    target += route.target.answers;
    others += route.others.answers;
  }
  const double fair_part = kFairPart * static_cast<double>(others);
  return target >= kMinAnswers &&
         std::all_of(answers.begin(), answers.end(), [&](const auto& entry) {
           const RouteAnswers& route = entry.second;
           return static_cast<double>(route.others.answers) < fair_part ||
                  route.target.answers >= kMinRouteAnswers;
         });
}

VersionVerdict BadVerdict(const Comparison& one, std::string_view route) {
  VersionVerdict verdict;
  verdict.quality = VersionQuality::kBad;
  verdict.fault = one.fault;
  verdict.route = std::string(route);
  verdict.bad = one.target.bad;
  verdict.answers = one.target.total;
  verdict.expected_bad =
      one.expected_share * static_cast<double>(one.target.total);
  return verdict;
}

}  // namespace

std::string_view VersionFaultName(VersionFault fault) {
  switch (fault) {
    case VersionFault::kNone:
      return "none";
    case VersionFault::kFailures:
      return "failures";
    case VersionFault::kSlowAnswers:
      return "slow_answers";
    case VersionFault::kSlowStreams:
      return "slow_streams";
  }
  return "";
}

// A version may be bad on a single route, or so little on each that it shows
// only over all of them.
VersionVerdict JudgeVersion(const AnswersByRoute& answers) {
  std::vector<Comparison> over_all;
  VersionVerdict verdict;
  for (const auto& [name, route] : answers) {
    verdict.answers += route.target.answers;
    verdict.bad += route.target.failed;
    for (const Comparison& one : Compare(route)) {
      if (IsWorse(one)) {
        return BadVerdict(one, name);
      }
      AddTo(one, &over_all);
    }
  }
  for (const Comparison& one : over_all) {
    if (IsWorse(one)) {
      return BadVerdict(one, "");
    }
  }
  if (HasEnoughAnswers(answers)) {
    verdict.quality = VersionQuality::kSound;
  }
  return verdict;
}

}  // namespace meadowthread
