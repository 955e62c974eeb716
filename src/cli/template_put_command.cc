#include "absl/strings/str_cat.h"
#include "cli/change_result.h"
#include "cli/document_check.h"
#include "cli/input_file.h"
#include "cli/line_difference.h"
#include "cli/operator_options.h"
#include "cli/platform_command.h"
#include "cli/template_commands.h"
#include "cli/utc_time.h"
#include "configuration/template_document.h"
#include "configuration/template_object.h"
#include "store/http_object_store.h"

namespace meadowthread {
namespace {

/// An object whose value cannot be read counts as an empty template, so that
/// a put can repair it.
TemplateObject ReadObject(const StoredObject& object) {
  absl::StatusOr<TemplateObject> read =
      TemplateFromJson(object.value, object.version);
  if (read.ok()) {
    return *std::move(read);
  }
  TemplateObject none;
  none.current.version = object.version;
  return none;
}

class TemplateChange final : public ObjectChange {
 public:
  TemplateChange(std::string_view name, const TemplateEntry& entry)
      : name(name), entry(entry) {}

  std::string_view Kind() const override { return "templates"; }
  std::string_view Name() const override { return this->name; }

  bool IsDoneBy(const StoredObject& standing) const override {
    return ReadObject(standing).current.yaml == this->entry.yaml;
  }

  std::string NextValue(const StoredObject& standing) const override {
    if (standing.version == 0) {
      return TemplateToJson({this->entry, {}});
    }
    return TemplateToJson(
        NextTemplateObject(ReadObject(standing), this->entry, kMaxObjectBytes));
  }

  FoundOperation Find(const StoredObject& standing,
                      std::int64_t base_version) const override {
    const TemplateObject object = ReadObject(standing);
    std::vector<TemplateEntry> entries = {object.current};
    entries.insert(entries.end(), object.history.begin(), object.history.end());
    bool reaches_base = false;
    for (const TemplateEntry& found : entries) {
      if (found.operation == this->entry.operation) {
        return {OperationTrace::kPresent, found.version};
      }
      reaches_base = reaches_base || found.version == base_version;
    }
    // Each version names the one before it, so that a history down to the base
    // has every change since.
    return {reaches_base ? OperationTrace::kAbsent : OperationTrace::kUntold,
            0};
  }

 private:
  std::string name;
  TemplateEntry entry;
};

std::string ConflictText(const StoredObject& standing,
                         const std::string& yours) {
  if (standing.version == 0) {
    return "";
  }
  const TemplateEntry theirs = ReadObject(standing).current;
  return absl::StrCat("put by ", theirs.author, " at ", UtcTime(theirs.unix_ms),
                      "; your file (-) against what stands (+):\n",
                      LineDifference(yours, theirs.yaml));
}

class PutInvocation final : public Invocation {
 public:
  PutInvocation(TCLAP::CmdLine& line, const Clock& clock,
                NonceSource& operations)
      : file("file", "the template; - is the standard input", true, "", "FILE",
             line),
        if_version("", "if-version",
                   "put only over this version, as `template get --output "
                   "json` tells it; 0: only where there is none",
                   false, 0, "N", line),
        author(line),
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
    const absl::StatusOr<std::string> who = this->author.Author();
    if (!who.ok()) {
      return UsageResult(who.status());
    }
    const TemplateEntry entry = {this->operations.Next(), *who,
                                 this->clock.WallMs(), *yaml, 0};
    if (TemplateToJson({entry, {}}).size() > kMaxObjectBytes) {
      return TooLarge();
    }
    const TemplateChange change(parsed.document.name, entry);
    std::optional<std::int64_t> condition;
    if (this->if_version.isSet()) {
      condition = this->if_version.getValue();
    }
    const ChangeEnd end = MakeChange(context.platform, change, condition);
    return TellChange(context.platform, end, "template " + parsed.document.name,
                      ConflictText(end.object, *yaml));
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

  static CommandResult TooLarge() {
    CommandResult result;
    result.code = ExitCode::kInvalid;
    result.text = absl::StrCat("the template is larger than the object API's ",
                               kMaxObjectBytes, " bytes\n");
    return result;
  }

  TCLAP::UnlabeledValueArg<std::string> file;
  TCLAP::ValueArg<std::int64_t> if_version;
  AuthorOption author;
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
             "checks a template and makes it stand",
             "Checks the template whole, then puts it by a conditional write. "
             "A lost answer is\nsettled by the operation's id: the result is "
             "accepted, unchanged, conflict (with\nwhat stands instead) or "
             "unknown, never a guess. An accepted template is pushed to\nthe "
             "entry hosts of the host list, and is in force on all of them "
             "within seconds.",
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
