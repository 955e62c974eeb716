#include "gateway/recorded_answer.h"

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/json_fields.h"
#include "net/http_code.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

absl::Status RecordedAnswerError(ErrorId id, std::string_view what) {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = Outcome::kUnknown;
  detail.step = "replay";
  detail.peer = "object-api";
  return MakeError(absl::StatusCode::kDataLoss, detail, what);
}

}  // namespace

ClaimResult EncodeRecordedAnswer(const RecordedAnswer& answer) {
  const json body = {{"request", answer.request},
                     {"finish", answer.finish_reason},
                     {"prompt_tokens", answer.usage.prompt_tokens},
                     {"completion_tokens", answer.usage.completion_tokens},
                     {"whole", answer.text_is_whole},
                     {"text", answer.text_is_whole ? answer.text : ""}};
  return {http_code::kOk, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

absl::StatusOr<RecordedAnswer> DecodeRecordedAnswer(const ClaimResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object()) {
    return RecordedAnswerError(ErrorId::kStoreMalformed,
                               "the recorded answer cannot be read");
  }
  RecordedAnswer answer;
  answer.request = StringOr(body, "request", "");
  answer.finish_reason = StringOr(body, "finish", "stop");
  answer.usage.prompt_tokens = IntOr(body, "prompt_tokens", 0);
  answer.usage.completion_tokens = IntOr(body, "completion_tokens", 0);
  answer.text = StringOr(body, "text", "");
  answer.text_is_whole = body.value("whole", true);
  if (!answer.text_is_whole) {
    return RecordedAnswerError(
        ErrorId::kClaimHeld,
        absl::StrCat("request ", answer.request, " ran to its end with ",
                     answer.usage.completion_tokens,
                     " tokens; its answer was too long to keep"));
  }
  return answer;
}

}  // namespace meadowthread
