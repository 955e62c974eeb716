#ifndef MEADOWTHREAD_POLICY_LENGTH_SURVIVAL_CURVE_H_
#define MEADOWTHREAD_POLICY_LENGTH_SURVIVAL_CURVE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace meadowthread {

/// @brief Length buckets are logarithmically spaced, four to an octave, from
/// one token to 65,536 tokens.
inline constexpr int kLengthBucketsPerOctave = 4;
inline constexpr std::size_t kLengthBuckets = 64;

/// @brief The bucket that contains `tokens`.
std::size_t LengthBucketOf(std::int64_t tokens);

/// @brief The smallest length in a bucket.
double LengthBucketStart(std::size_t bucket);

/// @brief A distribution of output lengths, kept as its survival function
/// P(length > tokens).
class LengthSurvivalCurve {
 public:
  LengthSurvivalCurve() = default;

  /// @brief Builds the curve from a weight for each bucket; the sum of the
  /// weights must be positive.
  explicit LengthSurvivalCurve(std::span<const float, kLengthBuckets> weights);

  /// @brief The distribution of the remaining length, for repeated queries.
  class Tail {
   public:
    /// @brief P(length > generated + further | length > generated).
    double Survival(std::int64_t further) const;

   private:
    friend class LengthSurvivalCurve;
    Tail(const LengthSurvivalCurve& curve, std::int64_t generated);

    const LengthSurvivalCurve& curve;
    double start;
    double start_survival;
  };

  /// @brief The distribution of the length remaining after `generated` tokens;
  /// the curve must outlive it.
  Tail After(std::int64_t generated) const { return Tail(*this, generated); }

  /// @brief P(length > tokens).
  double Survival(double tokens) const;

  /// @brief P(length > generated + further | length > generated).
  double SurvivalAfter(std::int64_t generated, std::int64_t further) const;

  /// @brief The smallest number of further tokens that the output exceeds with
  /// at most `probability`.
  std::int64_t TailQuantile(std::int64_t generated, double probability) const;

  /// @brief Expected number of tokens still to be generated.
  /// @param[in] generated tokens generated so far
  /// @param[in] max_output the request's limit; 0: none
  double ExpectedRemaining(std::int64_t generated,
                           std::int64_t max_output) const;

 private:
  /// Entry i is P(length >= start of bucket i); the last entry stands for the
  /// end of the last bucket.
  std::array<float, kLengthBuckets + 1> survival = {};
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_LENGTH_SURVIVAL_CURVE_H_
