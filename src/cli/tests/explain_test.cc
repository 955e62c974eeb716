#include <criterion/criterion.h>

#include "base/log_line.h"
#include "cli/explain_command.h"
#include "cli/log_reader.h"
#include "cli/tests/fake_platform.h"

namespace meadowthread {
namespace {

constexpr char kPrefix[] = "I20261202 14:30:25.000002  77 session.cc:83] ";

Test(a_log_line, is_parsed_back_as_it_was_written) {
  LogLine line("route");
  line.Add("request", "r-1")
      .Add("why", "it is \"least\"\tfull = 3\\4 \xc3\xb1");
  line.Add("tokens", 12).Add("empty", "");
  const std::optional<LogRecord> record = ReadLogLine(kPrefix + line.Text());
  cr_assert(record->event == "route");
  cr_assert(record->time == "1202 14:30:25.000002");
  cr_assert(
      record->fields ==
      (std::vector<LogField>{{"request", "r-1"},
                             {"why", "it is \"least\"\tfull = 3\\4 \xc3\xb1"},
                             {"tokens", "12"},
                             {"empty", ""}}));
}

Test(a_log_line, is_parsed_without_a_prefix_and_after_other_text) {
  cr_assert(ReadLogLine("event=end tokens=3")->time.empty());
  cr_assert(
      ReadLogLine("entry-1 | I1202 09:00:00.5 7 a.cc:1] event=end")->time ==
      "1202 09:00:00.5");
}

Test(a_log_line, that_is_truncated_keeps_its_complete_fields) {
  const auto record = ReadLogLine("event=end request=r-1 why=\"cut o");
  cr_assert(record->fields.size() == 1);
  cr_assert(!ReadLogLine("a plain line, no_event=x").has_value());
}

Test(a_request_timeline, is_printed_in_time_order) {
  const std::string log =
      "I1202 14:30:25.3 7 a.cc:1] event=end request=r-1 outcome=none\n"
      "I1202 14:30:25.1 7 a.cc:1] event=queue request=r-1 why=\"no room\"\n"
      "I1202 14:30:25.2 7 a.cc:1] event=route request=r-10 engine=e-9\n"
      "I1202 14:30:25.2 7 a.cc:1] event=route request=r-1.1 engine=e-2\n";
  const auto command = MakeExplainCommand();
  const RunRecord run = RunCommand(*command, {"r-1"}, log);
  cr_assert(run.code == ExitCode::kOk);
  cr_assert(run.out ==
            "request r-1:\n"
            "  1202 14:30:25.1  [-]  waits in the queue because: no room\n"
            "  1202 14:30:25.2  [-]  sent to engine e-2\n"
            "  1202 14:30:25.3  [-]  ended; outcome none\n");
}

Test(a_request_timeline, is_printed_as_json) {
  const auto command = MakeExplainCommand();
  const RunRecord run =
      RunCommand(*command, {"r-1", "--output", "json"},
                 "event=route request=r-1 engine=e-2 why=\"bad \xff byte\"\n");
  const auto json = nlohmann::json::parse(run.out);
  cr_assert(json["result"] == "ok");
  cr_assert(json["steps"][0]["fields"]["engine"] == "e-2");
}

Test(a_request_timeline, without_log_lines_is_not_found) {
  const auto command = MakeExplainCommand();
  cr_assert(RunCommand(*command, {"r-2"}, "event=end request=r-1\n").code ==
            ExitCode::kNotFound);
  cr_assert(RunCommand(*command, {"r-2", "--log", "/nonexistent"}).code ==
            ExitCode::kInvalid);
}

}  // namespace
}  // namespace meadowthread
