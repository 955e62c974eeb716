#include "gateway/answer_format.h"

#include <criterion/criterion.h>

#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

json DataOf(const std::string& event) {
  const std::size_t at = event.find("data: ") + 6;
  return json::parse(event.substr(at, event.find("\n\n", at) - at));
}

Test(a_token, is_one_event_with_its_index_as_id) {
  for (const CompletionApi form :
       {CompletionApi::kChat, CompletionApi::kCompletion}) {
    const AnswerFormat format({form, "r-1", "recon\"cile", 7});
    std::string out;
    format.AppendToken(12, "a \"b\"\n", out);
    cr_assert(out.rfind("id: 12\ndata: ", 0) == 0);
    const json data = DataOf(out);
    cr_assert(data["model"] == "recon\"cile");
    const json& choice = data["choices"][0];
    const json& text = form == CompletionApi::kChat ? choice["delta"]["content"]
                                                    : choice["text"];
    cr_assert(text == "a \"b\"\n");
    cr_assert(choice["finish_reason"].is_null());
  }
}

Test(a_token, whose_answer_is_named_like_the_placeholder_still_comes_out) {
  const AnswerFormat format({CompletionApi::kChat, "@TOKEN@", "@TOKEN@", 7});
  std::string out;
  format.AppendToken(0, "x", out);
  cr_assert(DataOf(out)["choices"][0]["delta"]["content"] == "x");
  cr_assert(DataOf(out)["id"] == "@TOKEN@");
}

Test(a_whole_answer, ends_with_done_and_its_usage) {
  const AnswerFormat format({CompletionApi::kChat, "r-1", "m", 7});
  std::string out;
  format.AppendEnd("stop", {3, 5}, out);
  cr_assert(DataOf(out)["usage"]["total_tokens"] == 8);
  cr_assert(out.ends_with("data: [DONE]\n\n"));
}

}  // namespace
}  // namespace meadowthread
