#ifndef MEADOWTHREAD_ROLLOUT_ANSWER_COUNTS_H_
#define MEADOWTHREAD_ROLLOUT_ANSWER_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace meadowthread {

/// @brief Counts of durations by size class. Each class is half as wide again
/// as the one before, so that an answer several times slower falls into a
/// clearly higher class, whatever the usual duration is.
class DurationCounts {
 public:
  /// Classes up to 1 ms * 1.5^31, several minutes; the last one is open.
  static constexpr std::size_t kClasses = 32;

  /// @brief Counts a duration; negative ones are ignored.
  void Add(std::int64_t duration_ms);

  /// @brief Number of durations.
  std::int64_t Total() const;

  /// @brief Number of durations in classes from `first` on.
  std::int64_t CountFrom(std::size_t first) const;

  /// @brief The class of the median; 0 if nothing was counted.
  std::size_t MedianClass() const;

  std::int64_t At(std::size_t index) const { return this->counts.at(index); }
  void Set(std::size_t index, std::int64_t count) {
    this->counts.at(index) = count;
  }

  /// @brief Raises each count to the other's if that is higher.
  void RaiseTo(const DurationCounts& other);
  void Add(const DurationCounts& other);
  void Subtract(const DurationCounts& other);

  friend bool operator==(const DurationCounts&,
                         const DurationCounts&) = default;

 private:
  std::array<std::int64_t, kClasses> counts{};
};

/// @brief How servers of one version answered the requests of one route.
///
/// The counts of one host only grow, so that two copies are joined by taking
/// the higher of each count, in any order and any number of times.
struct AnswerCounts {
  std::int64_t answers = 0;  ///< ended attempts, failed ones included
  std::int64_t failed = 0;
  DurationCounts first;  ///< until the answer or the first event
  DurationCounts gap;    ///< mean time between the events of a stream

  void RaiseTo(const AnswerCounts& other);
  void Add(const AnswerCounts& other);
  void Subtract(const AnswerCounts& other);

  friend bool operator==(const AnswerCounts&, const AnswerCounts&) = default;
};

/// @brief The answers on one route, of both sides of a rollout.
struct RouteAnswers {
  AnswerCounts target;  ///< of the version that is rolled out
  AnswerCounts others;  ///< of all other versions

  void RaiseTo(const RouteAnswers& other);
  void Add(const RouteAnswers& other);
  void Subtract(const RouteAnswers& other);

  friend bool operator==(const RouteAnswers&, const RouteAnswers&) = default;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_ANSWER_COUNTS_H_
