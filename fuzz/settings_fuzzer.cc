// Fuzzes the parsers of settings files, of operators' templates and of request
// bodies of the completion APIs.
#include "configuration/template_document.h"
#include "fuzz/fuzz_input.h"
#include "gateway/caller_request.h"
#include "settings/relay_settings.h"
#include "settings/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace meadowthread;  // NOLINT(google-build-using-namespace)
  const std::string_view text = fuzz::TextOf(data, size);
  const ParsedRelaySettings relay = ParseRelaySettings(text);
  fuzz::Require(!relay.IsValid() || !relay.settings.host.name.empty(),
                "settings without a host name are accepted");
  (void)ParseTemplate(text, 1);
  (void)ParseCallerRequest(CompletionApi::kChat, text);
  (void)ParseCallerRequest(CompletionApi::kCompletion, text);
  return 0;
}
