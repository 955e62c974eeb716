#include "cli/command_registry.h"

#include <algorithm>

#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "base/nearest_name.h"

namespace meadowthread {
namespace {

std::vector<std::string> WordsOf(const Command& command) {
  return absl::StrSplit(command.Help().name, ' ');
}

bool IsHelp(const std::string& word) {
  return word == "help" || word == "--help" || word == "-h";
}

}  // namespace

void CommandRegistry::Add(std::unique_ptr<Command> command) {
  this->commands.push_back(std::move(command));
}

ExitCode CommandRegistry::Run(std::span<const std::string> words,
                              Console& console) const {
  if (!words.empty() && words.front() == "--version") {
    const std::vector<std::string> version = {"version"};
    return this->Run(version, console);
  }
  if (!words.empty() && IsHelp(words.front())) {
    this->PrintCommands(console.out, "");
    return ExitCode::kOk;
  }
  Command* command = this->Find(words);
  if (command == nullptr) {
    return this->ReportUnknownCommand(words, console);
  }
  return command->Run(words.subspan(WordsOf(*command).size()), console);
}

Command* CommandRegistry::Find(std::span<const std::string> words) const {
  for (const auto& command : this->commands) {
    const std::vector<std::string> command_words = WordsOf(*command);
    if (command_words.size() <= words.size() &&
        std::equal(command_words.begin(), command_words.end(), words.begin())) {
      return command.get();
    }
  }
  return nullptr;
}

ExitCode CommandRegistry::ReportUnknownCommand(
    std::span<const std::string> words, Console& console) const {
  std::vector<std::string> first_words;
  for (const auto& command : this->commands) {
    first_words.push_back(WordsOf(*command).front());
  }
  const bool is_group =
      !words.empty() && std::find(first_words.begin(), first_words.end(),
                                  words.front()) != first_words.end();
  if (is_group && words.size() > 1 && IsHelp(words[1])) {
    this->PrintCommands(console.out, words.front());
    return ExitCode::kOk;
  }
  if (is_group) {
    console.err << "meadowthread " << words.front()
                << ": a subcommand is required, one of these:\n";
  } else if (!words.empty()) {
    const std::vector<std::string_view> names(first_words.begin(),
                                              first_words.end());
    const std::string nearest{NearestName(words.front(), names)};
    console.err << "meadowthread: there is no command '" << words.front()
                << (nearest.empty() ? "'" : "'; the nearest is '" + nearest)
                << (nearest.empty() ? "\n" : "'\n");
  }
  this->PrintCommands(console.err, is_group ? words.front() : "");
  return ExitCode::kUsage;
}

void CommandRegistry::PrintCommands(std::ostream& out,
                                    const std::string& group) const {
  out << "usage: meadowthread COMMAND [arguments]\n\ncommands:\n";
  for (const auto& command : this->commands) {
    const CommandHelp& help = command->Help();
    if (group.empty() || WordsOf(*command).front() == group) {
      out << absl::StrFormat("  %-18s %s\n", help.name, help.summary);
    }
  }
  out << "\n`meadowthread COMMAND --help` lists its arguments, examples and "
         "exit codes.\n";
}

}  // namespace meadowthread
