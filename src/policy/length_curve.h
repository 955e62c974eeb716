#ifndef MEADOWTHREAD_POLICY_LENGTH_CURVE_H_
#define MEADOWTHREAD_POLICY_LENGTH_CURVE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace meadowthread {

/// @brief Four buckets an octave, from one token to 65,536.
inline constexpr int kLengthBucketsPerOctave = 4;
inline constexpr std::size_t kLengthBuckets = 64;

/// @brief The bucket that `tokens` falls into.
std::size_t LengthBucketOf(std::int64_t tokens);

/// @brief The smallest length of a bucket.
double LengthBucketStart(std::size_t bucket);

/// @brief A distribution of output lengths: the chance of being longer.
class LengthCurve {
 public:
  LengthCurve() = default;

  /// @brief From a weight per bucket, of any positive sum.
  explicit LengthCurve(std::span<const float, kLengthBuckets> weights);

  /// @brief The distribution of what is still to come, for many questions.
  class Tail {
   public:
    /// @brief P(length > generated + further | length > generated).
    double Survival(std::int64_t further) const;

   private:
    friend class LengthCurve;
    Tail(const LengthCurve& curve, std::int64_t generated);

    const LengthCurve& curve;
    double from;
    double base;
  };

  /// @brief The tail after `generated` tokens; the curve must outlive it.
  Tail After(std::int64_t generated) const { return Tail(*this, generated); }

  /// @brief P(length > tokens).
  double Survival(double tokens) const;

  /// @brief P(length > generated + further | length > generated).
  double SurvivalAfter(std::int64_t generated, std::int64_t further) const;

  /// @brief The least `further` tokens exceeded with at most `probability`.
  std::int64_t TailQuantile(std::int64_t generated, double probability) const;

  /// @brief Expected tokens still to come.
  /// @param[in] generated tokens already generated
  /// @param[in] max_output the request's limit; 0: none
  double ExpectedRemaining(std::int64_t generated,
                           std::int64_t max_output) const;

 private:
  /// P(length >= start of bucket i); the last entry is the end of the range.
  std::array<float, kLengthBuckets + 1> survival = {};
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_LENGTH_CURVE_H_
