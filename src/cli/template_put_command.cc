#include "absl/strings/str_cat.h"
#include "cli/change_command.h"
#include "cli/document_check.h"
#include "cli/input_file.h"
#include "cli/operator_options.h"
#include "cli/platform_command.h"
#include "cli/template_commands.h"
#include "configuration/operator_change.h"
#include "configuration/template_document.h"
#include "configuration/template_object.h"
#include "store/http_object_store.h"

namespace meadowthread {
namespace {

class PutInvocation final : public Invocation {
 public:
  PutInvocation(TCLAP::CmdLine& line, const Clock& clock,
                NonceSource& operations)
      : file("file", "the template file; - reads standard input", true, "",
             "FILE", line),
        if_version("", "if-version",
                   "put only over this version, as printed by `template get "
                   "--output json`; 0: only if there is none yet",
                   false, 0, "N", line),
        author(line),
        operation(line),
        clock(clock),
        operations(operations) {}

  CommandResult Run(const RunContext& context) override {
    const absl::StatusOr<std::string> yaml =
        ReadInput(this->file.getValue(), context.console);
    if (!yaml.ok()) {
      return FailedResult(yaml.status());
    }
    const ParsedTemplate parsed = ParseTemplate(*yaml, 0);
    if (!parsed.IsValid()) {
      return this->Invalid(*yaml);
    }
    const absl::StatusOr<std::string> author_name = this->author.Author();
    if (!author_name.ok()) {
      return UsageResult(author_name.status());
    }
    TemplateChange change;
    change.yaml = *yaml;
    change.author = *author_name;
    change.operation = this->operation.Operation(this->operations);
    change.unix_ms = this->clock.WallMs();
    if (TemplateToJson(EntryOf(change)).size() > kMaxObjectBytes) {
      return TooLarge();
    }
    if (this->if_version.isSet()) {
      change.base_version = this->if_version.getValue();
    }
    const ChangeResult end = AwaitChange(
        context.platform,
        [&change](OperatorChanges& changes, const ChangeDone& done) {
          changes.PutTemplate(change, done);
        });
    return ReportChange(context.platform, end,
                        "template " + parsed.document.name, change.operation);
  }

 private:
  CommandResult Invalid(const std::string& yaml) {
    CommandResult result;
    result.code = ExitCode::kInvalid;
    const CheckedDocument checked = CheckTemplate(yaml);
    result.text = ProblemLines(this->file.getValue(), checked.problems);
    result.json["problems"] = ProblemsJson(checked.problems);
    return result;
  }

  static TemplateObject EntryOf(const TemplateChange& change) {
    return {{change.operation, change.author, change.unix_ms, change.yaml, 0},
            {}};
  }

  static CommandResult TooLarge() {
    CommandResult result;
    result.code = ExitCode::kInvalid;
    result.text =
        absl::StrCat("the template exceeds the object API's limit of ",
                     kMaxObjectBytes, " bytes\n");
    return result;
  }

  TCLAP::UnlabeledValueArg<std::string> file;
  TCLAP::ValueArg<std::int64_t> if_version;
  AuthorOption author;
  OperationOption operation;
  const Clock& clock;
  NonceSource& operations;
};

class PutCommand final : public PlatformCommand {
 public:
  PutCommand(PlatformConnector& connector, const Clock& clock,
             NonceSource& operations)
      : PlatformCommand(
            connector,
            {"template put",
             "validates and stores a template",
             "Validates the template, then stores it by a conditional write. "
             "If the response is\nlost, the operation's id shows whether the "
             "write was applied: the result is accepted,\nunchanged, conflict "
             "(with the stored version) or unknown, never a guess. An "
             "accepted\ntemplate is pushed to the entry hosts of the host "
             "list and is in force on all of them\nwithin seconds.",
             {"meadowthread template put daily-report.yaml --author ana",
              "meadowthread template put daily-report.yaml --author ana "
              "--if-version 12 --output json"}}),
        clock(clock),
        operations(operations) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) override {
    return std::make_unique<PutInvocation>(line, this->clock, this->operations);
  }

 private:
  const Clock& clock;
  NonceSource& operations;
};

}  // namespace

std::unique_ptr<Command> MakeTemplatePutCommand(PlatformConnector& connector,
                                                const Clock& clock,
                                                NonceSource& operations) {
  return std::make_unique<PutCommand>(connector, clock, operations);
}

}  // namespace meadowthread
