#ifndef MEADOWTHREAD_GATEWAY_RECORDED_ANSWER_H_
#define MEADOWTHREAD_GATEWAY_RECORDED_ANSWER_H_

#include <string>

#include "absl/status/statusor.h"
#include "claims/claim_types.h"
#include "gateway/answer_format.h"

namespace meadowthread {

/// @brief A generation's answer as it is kept for retries with the same key.
struct RecordedAnswer {
  std::string request;  ///< the one that ran
  std::string finish_reason;
  AnswerUsage usage;
  std::string text;
  bool text_is_whole = true;  ///< false: longer than what is kept
};

/// @brief The form in which the claim service keeps it.
ClaimResult WriteRecordedAnswer(const RecordedAnswer& answer);

/// @brief Reads it back.
/// @return kClaimHeld (outcome unknown) where the text was too long to keep,
/// kStoreMalformed where it cannot be read
absl::StatusOr<RecordedAnswer> ReadRecordedAnswer(const ClaimResult& result);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_RECORDED_ANSWER_H_
