#include "gateway/completion_formatter.h"

#include <criterion/criterion.h>

#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

json DataOf(const std::string& event) {
  const std::size_t at = event.find("data: ") + 6;
  return json::parse(event.substr(at, event.find("\n\n", at) - at));
}

Test(append_token, writes_one_event_with_the_token_index_as_id) {
  for (const CompletionApi api :
       {CompletionApi::kChat, CompletionApi::kCompletion}) {
    const CompletionFormatter format({api, "r-1", "recon\"cile", 7});
    std::string out;
    format.AppendToken(12, "a \"b\"\n", out);
    cr_assert(out.rfind("id: 12\ndata: ", 0) == 0);
    const json data = DataOf(out);
    cr_assert(data["model"] == "recon\"cile");
    const json& choice = data["choices"][0];
    const json& text = api == CompletionApi::kChat ? choice["delta"]["content"]
                                                   : choice["text"];
    cr_assert(text == "a \"b\"\n");
    cr_assert(choice["finish_reason"].is_null());
  }
}

Test(append_token, works_if_id_and_model_equal_the_placeholder) {
  const CompletionFormatter format(
      {CompletionApi::kChat, "@TOKEN@", "@TOKEN@", 7});
  std::string out;
  format.AppendToken(0, "x", out);
  cr_assert(DataOf(out)["choices"][0]["delta"]["content"] == "x");
  cr_assert(DataOf(out)["id"] == "@TOKEN@");
}

Test(append_end, writes_token_usage_and_done) {
  const CompletionFormatter format({CompletionApi::kChat, "r-1", "m", 7});
  std::string out;
  format.AppendEnd("stop", {3, 5}, out);
  cr_assert(DataOf(out)["usage"]["total_tokens"] == 8);
  cr_assert(out.ends_with("data: [DONE]\n\n"));
}

}  // namespace
}  // namespace meadowthread
