#include "gateway/completion_formatter.h"

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

// Replaces the token in a template chunk, which is then split at this string
// into the constant parts before and after the token.
constexpr std::string_view kPlaceholder = "@TOKEN@";

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Base(const CompletionMetadata& metadata, std::string_view object) {
  return {{"id", metadata.request},
          {"object", std::string(object)},
          {"created", metadata.created_unix_s},
          {"model", metadata.model}};
}

std::string_view ChunkObject(CompletionApi api) {
  return api == CompletionApi::kChat ? "chat.completion.chunk"
                                     : "text_completion";
}

json Choice(CompletionApi api, const json& text, const json& finish_reason) {
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (api == CompletionApi::kChat) {
    choice["delta"] = text.is_null() ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text.is_null() ? json("") : text;
  }
  return choice;
}

json Usage(const TokenUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

}  // namespace

CompletionFormatter::CompletionFormatter(const CompletionMetadata& metadata)
    : metadata(metadata) {
  json chunk = Base(metadata, ChunkObject(metadata.api));
  chunk["choices"] = json::array(
      {Choice(metadata.api, json(std::string(kPlaceholder)), json(nullptr))});
  const std::string text = Dump(chunk);
  // The id or the model could contain the placeholder as well, but the keys are
  // sorted and `choices` comes before both, so the first match is the token.
  const std::size_t at = text.find(Dump(json(std::string(kPlaceholder))));
  this->token_prefix = text.substr(0, at);
  this->token_suffix = text.substr(at + kPlaceholder.size() + 2);
}

void CompletionFormatter::AppendToken(std::int64_t index, std::string_view text,
                                      std::string& out) const {
  absl::StrAppend(&out, "id: ", index, "\ndata: ", this->token_prefix,
                  Dump(json(std::string(text))), this->token_suffix, "\n\n");
}

void CompletionFormatter::AppendEnd(std::string_view finish_reason,
                                    const TokenUsage& usage,
                                    std::string& out) const {
  json chunk = Base(this->metadata, ChunkObject(this->metadata.api));
  chunk["choices"] = json::array({Choice(this->metadata.api, json(nullptr),
                                         json(std::string(finish_reason)))});
  chunk["usage"] = Usage(usage);
  absl::StrAppend(&out, "data: ", Dump(chunk), "\n\ndata: [DONE]\n\n");
}

void CompletionFormatter::AppendError(std::string_view problem_json,
                                      std::string& out) {
  absl::StrAppend(&out, "event: error\ndata: ", std::string(problem_json),
                  "\n\n");
}

std::string CompletionFormatter::FormatJson(std::string_view text,
                                            std::string_view finish_reason,
                                            const TokenUsage& usage) const {
  const bool chat = this->metadata.api == CompletionApi::kChat;
  json body =
      Base(this->metadata, chat ? "chat.completion" : "text_completion");
  json choice = {{"index", 0}, {"finish_reason", std::string(finish_reason)}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", std::string(text)}};
  } else {
    choice["text"] = std::string(text);
  }
  body["choices"] = json::array({choice});
  body["usage"] = Usage(usage);
  return Dump(body);
}

}  // namespace meadowthread
