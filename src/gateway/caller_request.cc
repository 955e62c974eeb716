#include "gateway/caller_request.h"

#include "absl/strings/str_cat.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxTokensLimit = 1'000'000;

absl::Status InvalidField(std::string_view field, std::string_view what) {
  return FieldError(ErrorId::kFieldInvalid, field, what);
}

// Content is a string or a list of parts, all of which must be text.
absl::StatusOr<std::string> ContentText(const json& message,
                                        const std::string& field) {
  const auto content = message.find("content");
  if (content == message.end()) {
    return InvalidField(field, "is missing");
  }
  if (content->is_string()) {
    return content->get<std::string>();
  }
  if (!content->is_array()) {
    return InvalidField(field, "is neither a string nor a list of parts");
  }
  std::string text;
  for (const json& part : *content) {
    if (StringOr(part, "type", "") != "text") {
      return InvalidField(field, "has a part that is not text");
    }
    text += StringOr(part, "text", "");
  }
  return text;
}

absl::StatusOr<std::string> ChatPrompt(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return InvalidField("messages", "is not a list with at least one message");
  }
  std::string prompt;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const json& message = (*messages)[i];
    const std::string field = absl::StrCat("messages[", i, "]");
    if (!message.is_object()) {
      return InvalidField(field, "is not an object");
    }
    const std::string role = StringOr(message, "role", "");
    if (role.empty()) {
      return InvalidField(field + ".role", "is missing or not a string");
    }
    const absl::StatusOr<std::string> text =
        ContentText(message, field + ".content");
    if (!text.ok()) {
      return text.status();
    }
    absl::StrAppend(&prompt, role, ": ", *text, "\n");
  }
  return prompt;
}

absl::StatusOr<std::string> ParsePrompt(CompletionApi api, const json& body) {
  return api == CompletionApi::kChat ? ChatPrompt(body)
                                     : StringField(body, "prompt");
}

absl::StatusOr<std::int64_t> ParseMaxTokens(const json& body) {
  for (const char* field : {"max_completion_tokens", "max_tokens"}) {
    const auto found = body.find(field);
    if (found == body.end() || found->is_null()) {
      continue;
    }
    if (!found->is_number_integer()) {
      return InvalidField(field, "is not an integer");
    }
    const auto value = found->get<std::int64_t>();
    if (value < 1 || value > kMaxTokensLimit) {
      return InvalidField(
          field, absl::StrCat("is not between 1 and ", kMaxTokensLimit));
    }
    return value;
  }
  return 0;
}

absl::StatusOr<bool> ParseFlag(const json& body, const char* field) {
  const auto found = body.find(field);
  if (found == body.end() || found->is_null()) {
    return false;
  }
  if (!found->is_boolean()) {
    return InvalidField(field, "is neither true nor false");
  }
  return found->get<bool>();
}

}  // namespace

absl::StatusOr<CallerRequest> ParseCallerRequest(CompletionApi api,
                                                 std::string_view text) {
  const absl::StatusOr<json> body = ParseObject(text, "parse", "caller");
  if (!body.ok()) {
    return body.status();
  }
  const absl::StatusOr<std::string> model = StringField(*body, "model");
  if (!model.ok()) {
    return model.status();
  }
  const absl::StatusOr<std::string> prompt = ParsePrompt(api, *body);
  if (!prompt.ok()) {
    return prompt.status();
  }
  const absl::StatusOr<std::int64_t> max_tokens = ParseMaxTokens(*body);
  if (!max_tokens.ok()) {
    return max_tokens.status();
  }
  const absl::StatusOr<bool> stream = ParseFlag(*body, "stream");
  if (!stream.ok()) {
    return stream.status();
  }
  if (IntOr(*body, "n", 1) != 1) {
    return InvalidField("n", "must be 1: a request gets one answer");
  }
  CallerRequest request;
  request.api = api;
  request.model = *model;
  request.prompt = *prompt;
  request.max_tokens = *max_tokens;
  request.stream = *stream;
  return request;
}

}  // namespace meadowthread
