// By what a request is known again.
#include "quarantine/content_key.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace meadowthread {
namespace {

const RunContent kContent = {"makati", "shop.example", "/report/x", "prompt"};

Test(a_content, has_one_key_at_every_host) {
  cr_assert(ContentKeyOf(kContent) == ContentKeyOf(kContent));
  cr_assert(IsContentKey(ContentKeyOf(kContent)));
}

Test(a_content, shares_its_key_with_no_other) {
  std::set<std::string> keys = {ContentKeyOf(kContent)};
  for (const RunContent& other :
       {RunContent{"pasig", "shop.example", "/report/x", "prompt"},
        RunContent{"makati", "other.example", "/report/x", "prompt"},
        RunContent{"makati", "shop.example", "/report/y", "prompt"},
        RunContent{"makati", "shop.example", "/report/x", "prompts"},
        RunContent{"makati", "shop.example", "/report/xprompt", ""},
        RunContent{"", "makatishop.example", "/report/x", "prompt"}}) {
    cr_assert(keys.insert(ContentKeyOf(other)).second);
  }
}

Test(what_is_no_key, is_told_apart) {
  for (const char* const wrong : {"", "abc", "0123456789ABCDEF0123456789ABCDEF",
                                  "0123456789abcdef0123456789abcdeg",
                                  "0123456789abcdef0123456789abcdef0"}) {
    cr_assert_not(IsContentKey(wrong), "%s", wrong);
  }
  cr_assert(IsContentKey("0123456789abcdef0123456789abcdef"));
}

}  // namespace
}  // namespace meadowthread
