#ifndef MEADOWTHREAD_METRICS_SUMMARY_H_
#define MEADOWTHREAD_METRICS_SUMMARY_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>

namespace meadowthread {

/// @brief The quantiles that every summary estimates.
inline constexpr std::array<double, 3> kSummaryQuantiles = {0.5, 0.95, 0.99};

namespace detail {

/// @brief Estimates quantiles of a stream of samples in constant memory.
class QuantileEstimator {
 public:
  QuantileEstimator();

  void Record(double sample);

  /// @brief The quantile at an index of kSummaryQuantiles; 0 without samples.
  double At(std::size_t index) const;

  std::uint64_t Count() const { return this->count; }

 private:
  // Number of markers of the P-square algorithm; it estimates only after as
  // many samples.
  static constexpr std::size_t kMarkers = 2 * kSummaryQuantiles.size() + 3;

  double ExactAt(std::size_t index) const;

  boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>
      estimates;
  std::array<double, kMarkers> first = {};
  std::uint64_t count = 0;
};

}  // namespace detail

/// @brief Count, sum, mean and quantiles of recorded samples.
///
/// Count, sum and mean cover all samples; quantiles cover only the time since
/// the second-to-last rotation, so that an hour of normal values does not hide
/// a bad minute.
class Summary {
 public:
  /// @complexity O(quantiles)
  void Record(double sample);

  std::uint64_t Count() const;
  double Sum() const;
  double Mean() const;  ///< 0 without samples

  /// @brief The quantile at an index of kSummaryQuantiles; 0 if the window has
  /// no samples.
  double Quantile(std::size_t index) const { return this->older.At(index); }

  /// @brief Drops the samples before the previous rotation from the quantiles.
  void Rotate();

 private:
  boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::sum,
                                         boost::accumulators::tag::mean>>
      totals;
  detail::QuantileEstimator older;
  detail::QuantileEstimator newer;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_METRICS_SUMMARY_H_
