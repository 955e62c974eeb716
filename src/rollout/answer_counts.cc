#include "rollout/answer_counts.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace meadowthread {
namespace {

constexpr double kClassRatio = 1.5;

std::size_t ClassOf(std::int64_t duration_ms) {
  if (duration_ms <= 1) {
    return 0;
  }
  const double index =
      std::log(static_cast<double>(duration_ms)) / std::log(kClassRatio);
  return std::min(static_cast<std::size_t>(index),
                  DurationCounts::kClasses - 1);
}

}  // namespace

void DurationCounts::Add(std::int64_t duration_ms) {
  if (duration_ms >= 0) {
    ++this->counts.at(ClassOf(duration_ms));
  }
}

std::int64_t DurationCounts::Total() const { return this->CountFrom(0); }

std::int64_t DurationCounts::CountFrom(std::size_t first) const {
  const auto begin =
      this->counts.begin() +
      static_cast<std::ptrdiff_t>(std::min(first, DurationCounts::kClasses));
  return std::accumulate(begin, this->counts.end(), std::int64_t{0});
}

std::size_t DurationCounts::MedianClass() const {
  const std::int64_t half = (this->Total() + 1) / 2;
  std::int64_t sum = 0;
  for (std::size_t index = 0; index < kClasses; ++index) {
    sum += this->counts.at(index);
    if (sum >= half && sum > 0) {
      return index;
    }
  }
  return 0;
}

void DurationCounts::RaiseTo(const DurationCounts& other) {
  std::transform(this->counts.begin(), this->counts.end(), other.counts.begin(),
                 this->counts.begin(),
                 [](std::int64_t a, std::int64_t b) { return std::max(a, b); });
}

void DurationCounts::Add(const DurationCounts& other) {
  std::transform(this->counts.begin(), this->counts.end(), other.counts.begin(),
                 this->counts.begin(), std::plus<>());
}

void DurationCounts::Subtract(const DurationCounts& other) {
  std::transform(this->counts.begin(), this->counts.end(), other.counts.begin(),
                 this->counts.begin(), std::minus<>());
}

void AnswerCounts::RaiseTo(const AnswerCounts& other) {
  this->answers = std::max(this->answers, other.answers);
  this->failed = std::max(this->failed, other.failed);
  this->first.RaiseTo(other.first);
  this->gap.RaiseTo(other.gap);
}

void AnswerCounts::Add(const AnswerCounts& other) {
  this->answers += other.answers;
  this->failed += other.failed;
  this->first.Add(other.first);
  this->gap.Add(other.gap);
}

void AnswerCounts::Subtract(const AnswerCounts& other) {
  this->answers -= other.answers;
  this->failed -= other.failed;
  this->first.Subtract(other.first);
  this->gap.Subtract(other.gap);
}

void RouteAnswers::RaiseTo(const RouteAnswers& other) {
  this->target.RaiseTo(other.target);
  this->others.RaiseTo(other.others);
}

void RouteAnswers::Add(const RouteAnswers& other) {
  this->target.Add(other.target);
  this->others.Add(other.others);
}

void RouteAnswers::Subtract(const RouteAnswers& other) {
  this->target.Subtract(other.target);
  this->others.Subtract(other.others);
}

}  // namespace meadowthread
