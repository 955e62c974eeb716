#ifndef MEADOWTHREAD_POLICY_PREFILL_RATE_H_
#define MEADOWTHREAD_POLICY_PREFILL_RATE_H_

#include <cstdint>

namespace meadowthread {

/// @brief How fast engines prefill prompts, learned from the first events of
/// streams.
///
/// Used to predict, when a request arrives, the time of its first event. While
/// prompts arrive faster than engines prefill them, requests whose first event
/// would be late are recognized that way.
class PrefillRate {
 public:
  /// @brief Records a stream's first event.
  /// @param[in] tokens prompt tokens that had to be prefilled before it: its
  /// own prompt and those ahead of it on its engine when it was sent
  /// @param[in] took_ms from sending the request to the first event
  void Observe(std::int64_t tokens, std::int64_t took_ms);

  /// @brief Expected time to prefill this many tokens, in milliseconds.
  double ExpectedMs(std::int64_t tokens) const {
    return this->ms_per_token * static_cast<double>(tokens);
  }

  /// @brief Current estimate of the prefill time per token.
  double MsPerToken() const { return this->ms_per_token; }

 private:
  // Initial value: an engine that decodes a few streams prefills a prompt of
  // 3,000 tokens in 0.4 s. After about ten streams, the estimate depends mainly
  // on measurements.
  double ms_per_token = 0.14;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_PREFILL_RATE_H_
