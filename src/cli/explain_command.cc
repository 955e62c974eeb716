#include "cli/explain_command.h"

#include <sstream>

#include "absl/strings/str_cat.h"
#include "cli/command_arguments.h"
#include "cli/command_result.h"
#include "cli/input_file.h"
#include "cli/request_timeline.h"

namespace meadowthread {
namespace {

constexpr std::string_view kStandardInput = "-";

CommandResult ToCommandResult(const RequestTimeline& timeline) {
  CommandResult result;
  result.json["request"] = timeline.Request();
  result.json["steps"] = nlohmann::ordered_json::array();
  const std::vector<TimelineStep> steps = timeline.Steps();
  if (steps.empty()) {
    result.code = ExitCode::kNotFound;
    result.text =
        absl::StrCat("no log line is about request ", timeline.Request(), "\n");
    return result;
  }
  result.text = absl::StrCat("request ", timeline.Request(), ":\n");
  for (const TimelineStep& step : steps) {
    const LogRecord& record = step.record;
    absl::StrAppend(&result.text, "  ", record.time, "  [", record.source,
                    "]  ", step.sentence, "\n");
    nlohmann::ordered_json fields = nlohmann::ordered_json::object();
    for (const LogField& field : record.fields) {
      fields[field.key] = field.value;
    }
    result.json["steps"].push_back({{"time", record.time},
                                    {"source", record.source},
                                    {"event", record.event},
                                    {"sentence", step.sentence},
                                    {"fields", fields}});
  }
  return result;
}

class ExplainCommand final : public Command {
 public:
  const CommandHelp& Help() const override { return this->help; }

  ExitCode Run(std::span<const std::string> arguments,
               Console& console) override {
    CommandArguments parser(this->help, console);
    TCLAP::UnlabeledValueArg<std::string> request(
        "request", "the id from the response's Meadowthread-Request header",
        true, "", "REQUEST", parser.Line());
    TCLAP::MultiArg<std::string> logs(
        "", "log",
        "a log file to read, repeated for each host; - reads standard input "
        "(default: -)",
        false, "FILE", parser.Line());
    OutputOption output(parser.Line());
    const std::optional<ExitCode> exit_code = parser.Parse(arguments);
    if (exit_code.has_value()) {
      return *exit_code;
    }
    RequestTimeline timeline(request.getValue());
    std::vector<std::string> paths = logs.getValue();
    if (paths.empty()) {
      paths.emplace_back(kStandardInput);
    }
    for (const std::string& path : paths) {
      const absl::Status status = ReadLog(path, console, &timeline);
      if (!status.ok()) {
        return output.Print(FailedResult(status), console);
      }
    }
    return output.Print(ToCommandResult(timeline), console);
  }

 private:
  static absl::Status ReadLog(const std::string& path, Console& console,
                              RequestTimeline* timeline) {
    const absl::StatusOr<std::string> text = ReadInput(path, console);
    if (text.ok()) {
      std::istringstream log(*text);
      timeline->Read(log, path);
    }
    return text.status();
  }

  CommandHelp help = {
      "explain",
      "shows what happened to a request, from log lines",
      "Every decision about a request is one log line of key=value pairs. "
      "explain\nreads the logs of any number of hosts, selects the lines "
      "about the request or\none of its attempts, and prints them in time "
      "order: which engine was chosen and\nwhy, what failed, and how it ended.",
      {"meadowthread explain entry-1-5f3a-17 --log entry-1.log --log "
       "entry-2.log",
       "cat *.log | meadowthread explain entry-1-5f3a-17 --output json"}};
};

}  // namespace

std::unique_ptr<Command> MakeExplainCommand() {
  return std::make_unique<ExplainCommand>();
}

}  // namespace meadowthread
