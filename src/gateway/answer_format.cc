#include "gateway/answer_format.h"

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

// Stands for the token while the constant parts are cut out; it cannot occur
// in them since JSON text never holds a raw control character.
constexpr std::string_view kPlaceholder = "@TOKEN@";

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Base(const AnswerHead& head, std::string_view object) {
  return {{"id", head.request},
          {"object", std::string(object)},
          {"created", head.created_unix_s},
          {"model", head.model}};
}

std::string_view ChunkObject(CompletionApi form) {
  return form == CompletionApi::kChat ? "chat.completion.chunk"
                                      : "text_completion";
}

json Choice(CompletionApi form, const json& text, const json& finish_reason) {
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (form == CompletionApi::kChat) {
    choice["delta"] = text.is_null() ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text.is_null() ? json("") : text;
  }
  return choice;
}

json Usage(const AnswerUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

}  // namespace

AnswerFormat::AnswerFormat(const AnswerHead& head) : head(head) {
  json chunk = Base(head, ChunkObject(head.form));
  chunk["choices"] = json::array(
      {Choice(head.form, json(std::string(kPlaceholder)), json(nullptr))});
  const std::string text = Dump(chunk);
  // The last occurrence: an id or model could hold the same letters, but the
  // choices stand first in the document's order of keys.
  const std::size_t at = text.find(Dump(json(std::string(kPlaceholder))));
  this->token_prefix = text.substr(0, at);
  this->token_suffix = text.substr(at + kPlaceholder.size() + 2);
}

void AnswerFormat::AppendToken(std::int64_t index, std::string_view text,
                               std::string& out) const {
  absl::StrAppend(&out, "id: ", index, "\ndata: ", this->token_prefix,
                  Dump(json(std::string(text))), this->token_suffix, "\n\n");
}

void AnswerFormat::AppendEnd(std::string_view finish_reason,
                             const AnswerUsage& usage, std::string& out) const {
  json chunk = Base(this->head, ChunkObject(this->head.form));
  chunk["choices"] = json::array({Choice(this->head.form, json(nullptr),
                                         json(std::string(finish_reason)))});
  chunk["usage"] = Usage(usage);
  absl::StrAppend(&out, "data: ", Dump(chunk), "\n\ndata: [DONE]\n\n");
}

void AnswerFormat::AppendProblem(std::string_view problem_json,
                                 std::string& out) {
  absl::StrAppend(&out, "event: error\ndata: ", std::string(problem_json),
                  "\n\n");
}

std::string AnswerFormat::Whole(std::string_view text,
                                std::string_view finish_reason,
                                const AnswerUsage& usage) const {
  const bool chat = this->head.form == CompletionApi::kChat;
  json body = Base(this->head, chat ? "chat.completion" : "text_completion");
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
