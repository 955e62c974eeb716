// Keys that identify retries of the same request content.
#include "quarantine/content_key.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace meadowthread {
namespace {

const RequestContent kContent = {"makati", "shop.example", "/report/x",
                                 "prompt"};

Test(a_content, always_has_the_same_key) {
  cr_assert(ContentKeyOf(kContent) == ContentKeyOf(kContent));
  cr_assert(IsContentKey(ContentKeyOf(kContent)));
}

Test(different_contents, have_different_keys) {
  std::set<std::string> keys = {ContentKeyOf(kContent)};
  for (const RequestContent& other :
       {RequestContent{"pasig", "shop.example", "/report/x", "prompt"},
        RequestContent{"makati", "other.example", "/report/x", "prompt"},
        RequestContent{"makati", "shop.example", "/report/y", "prompt"},
        RequestContent{"makati", "shop.example", "/report/x", "prompts"},
        RequestContent{"makati", "shop.example", "/report/xprompt", ""},
        RequestContent{"", "makatishop.example", "/report/x", "prompt"}}) {
    cr_assert(keys.insert(ContentKeyOf(other)).second);
  }
}

Test(a_malformed_key, is_rejected) {
  for (const char* const wrong : {"", "abc", "0123456789ABCDEF0123456789ABCDEF",
                                  "0123456789abcdef0123456789abcdeg",
                                  "0123456789abcdef0123456789abcdef0"}) {
    cr_assert_not(IsContentKey(wrong), "%s", wrong);
  }
  cr_assert(IsContentKey("0123456789abcdef0123456789abcdef"));
}

}  // namespace
}  // namespace meadowthread
