#ifndef MEADOWTHREAD_POLICY_TOKEN_GAP_SAMPLER_H_
#define MEADOWTHREAD_POLICY_TOKEN_GAP_SAMPLER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace meadowthread {

/// @brief Summary of the gaps between events of one engine's streams.
struct TokenGaps {
  std::int64_t typical_us = 0;  ///< per token
  std::int64_t longest_us = 0;  ///< of one event, per token
};

/// @brief Gathers the gaps between events of one engine's streams over about a
/// second.
class TokenGapSampler {
 public:
  /// @brief Adds the gap before some events that arrived together.
  /// @param[in] tokens tokens of these events
  /// @param[in] tokens_per_event tokens in one event
  void Add(std::int64_t gap_ms, std::int64_t tokens,
           std::int64_t tokens_per_event, std::int64_t now_ms);

  /// @brief Returns the summary and begins anew, if enough was gathered.
  std::optional<TokenGaps> Take(std::int64_t now_ms);

 private:
  // At first a short time, so that the speed of a new engine is soon known.
  static constexpr std::int64_t kFirstGatherMs = 250;

  std::vector<std::int64_t> gaps_us;  ///< per token, of up to kMaxGaps events
  std::int64_t longest_us = 0;
  std::int64_t begun_ms = 0;
  std::int64_t gather_ms = kFirstGatherMs;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_TOKEN_GAP_SAMPLER_H_
