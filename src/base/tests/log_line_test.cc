#include "base/log_line.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

Test(a_log_line, quotes_values_that_could_not_be_parsed_otherwise) {
  LogLine line("route");
  line.Add("request", "r-1").Add("why", "least \"full\"").Add("count", 3);
  cr_assert(line.Text() ==
            "event=route request=r-1 why=\"least \\\"full\\\"\" count=3");
}

Test(a_log_line, escapes_control_characters) {
  LogLine line("entry-refused");
  line.Add("name", std::string_view("a\x1b[2J\0b", 7)).Add("tab", "a\tb");
  cr_assert(line.Text() ==
            "event=entry-refused name=\"a\\033[2J\\000b\" tab=\"a\\tb\"");
}

}  // namespace
}  // namespace meadowthread
