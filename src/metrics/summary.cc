#include "metrics/summary.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {

namespace accumulators = boost::accumulators;

namespace detail {

QuantileEstimator::QuantileEstimator()
    : estimates(accumulators::extended_p_square_probabilities =
                    kSummaryQuantiles) {}

void QuantileEstimator::Record(double sample) {
  if (this->count < kMarkers) {
    this->first.at(this->count) = sample;
  }
  ++this->count;
  this->estimates(sample);
}

double QuantileEstimator::At(std::size_t index) const {
  // The library's marker heights are not quantiles until all markers are
  // placed.
  if (this->count <= kMarkers) {
    return this->ExactAt(index);
  }
  return accumulators::extended_p_square(
      this->estimates)[static_cast<std::ptrdiff_t>(index)];
}

double QuantileEstimator::ExactAt(std::size_t index) const {
  if (this->count == 0) {
    return 0;
  }
  std::array<double, kMarkers> sorted = this->first;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(this->count);
  std::sort(sorted.begin(), end);
  const double rank =
      std::ceil(kSummaryQuantiles.at(index) * static_cast<double>(this->count));
  return sorted.at(static_cast<std::size_t>(rank) - 1);
}

}  // namespace detail

void Summary::Record(double sample) {
  // A NaN or infinite sample would make the sum unusable permanently.
  if (!std::isfinite(sample)) {
    return;
  }
  this->totals(sample);
  this->older.Record(sample);
  this->newer.Record(sample);
}

std::uint64_t Summary::Count() const {
  return accumulators::count(this->totals);
}

double Summary::Sum() const { return accumulators::sum(this->totals); }

double Summary::Mean() const {
  return this->Count() == 0 ? 0 : accumulators::mean(this->totals);
}

void Summary::Rotate() {
  this->older = this->newer;
  this->newer = detail::QuantileEstimator();
}

}  // namespace meadowthread
