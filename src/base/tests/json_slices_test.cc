// Tests that JSON text is split into its elements and members without parsing
// them.
#include "base/json_slices.h"

#include <criterion/criterion.h>

#include <string>

#include "base/json_fields.h"

namespace meadowthread {
namespace {

Test(a_list, is_split_into_its_unparsed_elements) {
  const auto elements = JsonElements(
      R"( [ 1 , "a,]\"b" ,{"x":[1,{"y":"}"}]}, [] ,null,-1e400,NaN ] )");
  cr_assert(elements.has_value() && elements->size() == 7);
  cr_assert((*elements)[0] == "1");
  cr_assert((*elements)[1] == R"("a,]\"b")");
  cr_assert((*elements)[2] == R"({"x":[1,{"y":"}"}]})");
  cr_assert((*elements)[3] == "[]" && (*elements)[6] == "NaN");
  cr_assert(JsonElements("[]")->empty() && JsonElements(" [ ] ")->empty());
}

Test(a_list, that_is_malformed_has_no_elements) {
  for (const char* const text :
       {"", "[", "]", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]]", "[1]x",
        "[\"a]", "[{]", "[{]}]", "{}", "7", "[\"a\\\"]"}) {
    cr_assert(!JsonElements(text).has_value(), "%s", text);
  }
}

Test(an_object, is_split_into_its_unparsed_members) {
  constexpr std::string_view kText =
      "{\"a\":{\"b\":1} , \"b\" : \"\xff\" ,\"a\":2,\"\\u0063\":[3]}";
  const auto members = JsonMembers(kText);
  cr_assert(members.has_value() && members->size() == 4);
  cr_assert(JsonMemberText(kText, "a") == "2",
            "the last of repeated keys counts");
  cr_assert(JsonMemberText(kText, "b") == "\"\xff\"");
  cr_assert(JsonMemberText(kText, "c") == "[3]", "keys with escapes match too");
  cr_assert(JsonMemberText(kText, "d").empty());
  cr_assert(JsonMembers("{}")->empty());
}

Test(an_object, that_is_malformed_has_no_members) {
  for (const char* const text :
       {"", "{", "}", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{1:1}",
        "{\"a\":1]", "{\"a\":1}}", "[]", "null", "{\"a\":\"}", "{:1}"}) {
    cr_assert(!JsonMembers(text).has_value(), "%s", text);
    cr_assert(JsonMemberText(text, "a").empty(), "%s", text);
  }
}

Test(nesting, is_measured_without_recursion) {
  cr_assert(!ExceedsDepth("[[1]]", 2) && ExceedsDepth("[[1]]", 1));
  cr_assert(!ExceedsDepth(R"(["[[[[", "\"[[["])", 1), "brackets in strings");
  cr_assert(!ExceedsDepth("[][][]{}", 1));
  cr_assert(ExceedsDepth(std::string(5'000'000, '['), 1'000'000));
  const std::string deep =
      std::string(1'000'000, '[') + std::string(1'000'000, ']');
  cr_assert(JsonElements("[" + deep + ",1]")->size() == 2);
  cr_assert(JsonMemberText("{\"a\":" + deep + "}", "a") == deep);
}

Test(a_document, that_is_nested_too_deeply_is_rejected) {
  const std::string nested =
      std::string(kMaxJsonDepth - 1, '[') + std::string(kMaxJsonDepth - 1, ']');
  cr_assert(ParseObject("{\"a\":" + nested + "}", "s", "p").ok());
  cr_assert(!ParseObject("{\"a\":[" + nested + "]}", "s", "p").ok());
}

Test(a_number, beyond_int64_is_not_converted_to_another_value) {
  const auto value = ParseObject(
      R"({"most":9223372036854775807,"more":9223372036854775808})", "s", "p");
  cr_assert(IntOr(*value, "most", 3) == 9223372036854775807);
  cr_assert(IntOr(*value, "more", 3) == 3);
  cr_assert(!IntField(*value, "more").ok() && IntField(*value, "most").ok());
}

}  // namespace
}  // namespace meadowthread
