#ifndef MEADOWTHREAD_POLICY_READING_RATE_H_
#define MEADOWTHREAD_POLICY_READING_RATE_H_

#include <cstdint>

namespace meadowthread {

/// @brief How fast engines read prompts, learnt from the first events of this
/// host's own streams.
///
/// Answers the load pattern "prompts come faster than engines read them": when
/// a first event will come is known as soon as a request arrives.
class ReadingRate {
 public:
  /// @brief A stream's first event came.
  /// @param[in] tokens that were to be read for it when it was sent: its own
  /// prompt and those ahead of it at its engine
  /// @param[in] took_ms from sending to the first event
  void Observe(std::int64_t tokens, std::int64_t took_ms);

  /// @brief Time until so many tokens are read, milliseconds.
  double ExpectedMs(std::int64_t tokens) const {
    return this->ms_per_token * static_cast<double>(tokens);
  }

  double MsPerToken() const { return this->ms_per_token; }

 private:
  // A prompt of 3,000 tokens between the tokens of a few streams takes 0.4 s;
  // replaced by what is seen after some ten streams.
  double ms_per_token = 0.14;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_READING_RATE_H_
