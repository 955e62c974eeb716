#ifndef MEADOWTHREAD_GATEWAY_RECORDED_ANSWER_H_
#define MEADOWTHREAD_GATEWAY_RECORDED_ANSWER_H_

#include <string>

#include "absl/status/statusor.h"
#include "claims/claim_types.h"
#include "gateway/completion_formatter.h"

namespace meadowthread {

/// @brief A generation's answer, stored for retries with the same idempotency
/// key.
struct RecordedAnswer {
  std::string request;  ///< id of the request that ran
  std::string finish_reason;
  TokenUsage usage;
  std::string text;
  bool text_is_whole = true;  ///< false: too long to be stored
};

/// @brief Encodes an answer for the claim service.
ClaimResult EncodeRecordedAnswer(const RecordedAnswer& answer);

/// @brief Decodes an answer from the claim service.
/// @return the answer; kClaimHeld (outcome unknown) if the text was too long to
/// be stored; kStoreMalformed if the record is not a JSON object
absl::StatusOr<RecordedAnswer> DecodeRecordedAnswer(const ClaimResult& result);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_RECORDED_ANSWER_H_
