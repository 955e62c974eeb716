#include "policy/token_gap_sampler.h"

#include <algorithm>

namespace meadowthread {
namespace {

// How long gaps are gathered later: longer than the moments in which an engine
// is slow.
constexpr std::int64_t kGatherMs = 1'000;
// Gaps from before a longer time do not tell of the present.
constexpr std::int64_t kMaxAgeMs = 5'000;
constexpr std::size_t kMinGaps = 8;
// Beyond this, further gaps only count for the longest one.
constexpr std::size_t kMaxGaps = 64;
// The typical gap is the lower quartile. The median would be one with a prompt
// beside it on an engine that spends half of its time on prefill.
constexpr std::size_t kQuartile = 4;
constexpr std::int64_t kUsPerMs = 1'000;

}  // namespace

void TokenGapSampler::Add(std::int64_t gap_ms, std::int64_t tokens,
                          std::int64_t tokens_per_event, std::int64_t now_ms) {
  if (gap_ms < 0 || tokens <= 0 || tokens_per_event <= 0) {
    return;
  }
  if (this->gaps_us.empty() || now_ms - this->begun_ms > kMaxAgeMs) {
    this->gaps_us.clear();
    this->longest_us = 0;
    this->begun_ms = now_ms;
  }
  if (this->gaps_us.size() < kMaxGaps) {
    this->gaps_us.push_back(gap_ms * kUsPerMs / tokens);
  }
  this->longest_us =
      std::max(this->longest_us, gap_ms * kUsPerMs / tokens_per_event);
}

std::optional<TokenGaps> TokenGapSampler::Take(std::int64_t now_ms) {
  if (this->gaps_us.size() < kMinGaps ||
      now_ms - this->begun_ms < this->gather_ms) {
    return std::nullopt;
  }
  const auto quartile =
      this->gaps_us.begin() +
      static_cast<std::ptrdiff_t>(this->gaps_us.size() / kQuartile);
  std::nth_element(this->gaps_us.begin(), quartile, this->gaps_us.end());
  const TokenGaps gaps = {*quartile, std::max(*quartile, this->longest_us)};
  this->gaps_us.clear();
  this->longest_us = 0;
  this->gather_ms = std::min(kGatherMs, 2 * this->gather_ms);
  return gaps;
}

}  // namespace meadowthread
