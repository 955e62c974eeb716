#include <algorithm>

#include "absl/strings/str_cat.h"
#include "cli/change_command.h"
#include "cli/host_commands.h"
#include "cli/operator_options.h"
#include "cli/platform_command.h"
#include "configuration/marks.h"
#include "configuration/operator_change.h"
#include "configuration/template_document.h"

namespace meadowthread {
namespace {

bool IsListed(const HostList& list, const std::string& host) {
  return std::any_of(
      list.hosts.begin(), list.hosts.end(),
      [&host](const HostEntry& entry) { return entry.name == host; });
}

class MarkInvocation final : public Invocation {
 public:
  MarkInvocation(TCLAP::CmdLine& line, const Clock& clock,
                 NonceSource& operations)
      : host("host", "the name of the host", true, "", "HOST", line),
        mark("mark",
             "leaving: accepts no new work; stopping: also exits once running "
             "work has finished; live: accepts work",
             true, "", "leaving|stopping|live", line),
        handover("", "handover",
                 "lets its streams continue on other hosts by their resume "
                 "tokens",
                 line),
        unlisted("", "unlisted",
                 "marks the host even if it is not in the host list", line),
        author(line),
        operation(line),
        clock(clock),
        operations(operations) {}

  CommandResult Run(const RunContext& context) override {
    const absl::StatusOr<HostMark> wanted =
        ParseHostMark(this->mark.getValue());
    if (!wanted.ok() || !IsName(this->host.getValue())) {
      return UsageResult(wanted.ok() ? "HOST is not a valid host name"
                                     : "the mark is one of live, leaving, "
                                       "stopping");
    }
    const absl::StatusOr<std::string> author_name = this->author.Author();
    if (!author_name.ok()) {
      return UsageResult(author_name.status());
    }
    // With a misspelt name the mark would have no effect, and the intended host
    // would keep receiving work.
    const absl::StatusOr<HostList> list = context.platform.ListHosts();
    if (list.ok() && !this->unlisted.getValue() &&
        !IsListed(*list, this->host.getValue())) {
      return this->NotListed();
    }
    MarkDocument document;
    document.host = this->host.getValue();
    document.mark = *wanted;
    document.handover = this->handover.getValue();
    document.operation = this->operation.Operation(this->operations);
    document.set_by = *author_name;
    document.unix_ms = this->clock.WallMs();
    const ChangeResult end = AwaitChange(
        context.platform,
        [&document](OperatorChanges& changes, const ChangeDone& done) {
          changes.PutMark(document, done);
        });
    return ReportChange(
        context.platform, end,
        absl::StrCat("mark ", this->mark.getValue(), " of ", document.host),
        document.operation);
  }

 private:
  CommandResult NotListed() {
    CommandResult result;
    result.code = ExitCode::kNotFound;
    result.text =
        absl::StrCat("the host list does not contain ", this->host.getValue(),
                     "; nothing was marked (--unlisted marks it "
                     "anyway)\n");
    return result;
  }

  TCLAP::UnlabeledValueArg<std::string> host;
  TCLAP::UnlabeledValueArg<std::string> mark;
  TCLAP::SwitchArg handover;
  TCLAP::SwitchArg unlisted;
  AuthorOption author;
  OperationOption operation;
  const Clock& clock;
  NonceSource& operations;
};

class MarkCommand final : public PlatformCommand {
 public:
  MarkCommand(PlatformConnector& connector, const Clock& clock,
              NonceSource& operations)
      : PlatformCommand(
            connector,
            {"host mark",
             "marks a host as leaving, stopping or live",
             "Marks an entry host or a host that runs an engine. Within a few "
             "seconds a leaving or\nstopping host receives no new work; its "
             "running work finishes. `meadowthread status`\nshows what a stop "
             "waits for. An accepted mark is pushed to the entry hosts "
             "immediately.",
             {"meadowthread host mark entry-2 stopping --author ana",
              "meadowthread host mark engine-7 leaving --author ana",
              "meadowthread host mark entry-2 live --author ana"}}),
        clock(clock),
        operations(operations) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) override {
    return std::make_unique<MarkInvocation>(line, this->clock,
                                            this->operations);
  }

 private:
  const Clock& clock;
  NonceSource& operations;
};

}  // namespace

std::unique_ptr<Command> MakeHostMarkCommand(PlatformConnector& connector,
                                             const Clock& clock,
                                             NonceSource& operations) {
  return std::make_unique<MarkCommand>(connector, clock, operations);
}

}  // namespace meadowthread
