#include "cli/command_arguments.h"

#include <list>
#include <vector>

#include "absl/strings/str_format.h"
#include "base/error.h"

namespace meadowthread {

namespace detail {

// The names of the next three functions are prescribed by TCLAP's interface.

void HelpOutput::usage(TCLAP::CmdLineInterface& line) {  // NOLINT
  std::ostream& out = this->console.out;
  out << "meadowthread " << this->help.name << ": " << this->help.summary
      << "\n\n"
      << this->help.description << "\n\narguments:\n";
  for (const TCLAP::Arg* argument : line.getArgList()) {
    out << "  " << argument->longID() << "\n      "
        << argument->getDescription() << "\n";
  }
  out << "\nexamples:\n";
  for (const std::string& example : this->help.examples) {
    out << "  " << example << "\n";
  }
  out << "\nexit codes:\n";
  for (const ExitCodeHelp& code : AllExitCodes()) {
    out << absl::StreamFormat("  %d  %-12s %s\n", static_cast<int>(code.code),
                              std::string(code.name),
                              std::string(code.meaning));
  }
}

void HelpOutput::version(TCLAP::CmdLineInterface& line) {  // NOLINT
  this->console.out << line.getVersion() << "\n";
}

void HelpOutput::failure(TCLAP::CmdLineInterface& /*line*/,  // NOLINT
                         TCLAP::ArgException& error) {
  this->console.err << "meadowthread " << this->help.name << ": "
                    << error.what() << "\n";
}

}  // namespace detail

CommandArguments::CommandArguments(const CommandHelp& help, Console& console)
    : help(help),
      console(console),
      output(help, console),
      line(help.description, ' ', "", false),
      help_visitor(&this->line, &this->output_address),
      output_address(&this->output),
      help_switch("h", "help", "prints this help", this->line, false,
                  &this->help_visitor) {
  this->line.setOutput(&this->output);
  this->line.setExceptionHandling(false);
}

std::optional<ExitCode> CommandArguments::Parse(
    std::span<const std::string> arguments) {
  std::vector<std::string> words = {"meadowthread " + this->help.name};
  words.insert(words.end(), arguments.begin(), arguments.end());
  try {
    this->line.parse(words);
  } catch (const TCLAP::ArgException& error) {
    const std::string where =
        error.argId() == "undefined" ? "" : " (" + error.argId() + ")";
    return this->ReportUsageError(error.error() + where);
  } catch (const TCLAP::ExitException&) {
    return ExitCode::kOk;  // the help text was printed
  }
  return std::nullopt;
}

ExitCode CommandArguments::ReportUsageError(std::string_view what) const {
  this->console.err << "meadowthread " << this->help.name << ": " << what
                    << "\n`meadowthread " << this->help.name
                    << " --help` lists its arguments.\n";
  return ExitCode::kUsage;
}

ExitCode CommandArguments::ReportError(const absl::Status& status) const {
  const std::string message(status.message().data(), status.message().size());
  if (DetailOf(status).id == ErrorId::kSettingsInvalid) {
    this->console.err << message << "\n";
    return ExitCode::kInvalid;
  }
  return this->ReportUsageError(message);
}

}  // namespace meadowthread
