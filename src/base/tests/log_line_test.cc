#include "base/log_line.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

Test(a_log_line, quotes_what_would_not_read_back) {
  LogLine line("route");
  line.Add("request", "r-1").Add("why", "least \"full\"").Add("count", 3);
  cr_assert(line.Text() ==
            "event=route request=r-1 why=\"least \\\"full\\\"\" count=3");
}

}  // namespace
}  // namespace meadowthread
