#include "absl/strings/str_cat.h"
#include "cli/await.h"
#include "cli/platform_command.h"
#include "cli/template_commands.h"
#include "cli/text_table.h"
#include "cli/utc_time.h"
#include "configuration/template_object.h"
#include "configuration/text_difference.h"

namespace meadowthread {
namespace {

constexpr std::string_view kTemplatesKind = "templates";

using nlohmann::ordered_json;

ordered_json EntryJson(const TemplateEntry& entry) {
  return {{"version", entry.version},
          {"author", entry.author},
          {"unix_ms", entry.unix_ms},
          {"operation", entry.operation}};
}

/// All stored versions of a template, newest first.
absl::StatusOr<std::vector<TemplateEntry>> ReadVersions(
    Platform& platform, const std::string& name) {
  const absl::StatusOr<StoredObject> object =
      AwaitGet(platform, kTemplatesKind, name);
  if (!object.ok()) {
    return object.status();
  }
  const absl::StatusOr<TemplateObject> read =
      TemplateFromJson(object->value, object->version);
  if (!read.ok()) {
    return read.status();
  }
  std::vector<TemplateEntry> versions = {read->current};
  versions.insert(versions.end(), read->history.begin(), read->history.end());
  return versions;
}

///////////////////
// template get  //
///////////////////

class GetInvocation final : public Invocation {
 public:
  explicit GetInvocation(TCLAP::CmdLine& line)
      : name("name", "the name of the template", true, "", "NAME", line),
        version("", "version", "an earlier version, as listed by history",
                false, 0, "N", line) {}

  CommandResult Run(const RunContext& context) override {
    const auto versions = ReadVersions(context.platform, this->name.getValue());
    if (!versions.ok()) {
      return FailedResult(versions.status());
    }
    for (const TemplateEntry& entry : *versions) {
      if (!this->version.isSet() || entry.version == this->version.getValue()) {
        return this->ToCommandResult(entry);
      }
    }
    CommandResult result;
    result.code = ExitCode::kNotFound;
    result.text = absl::StrCat("version ", this->version.getValue(),
                               " is not stored; history lists those that "
                               "are\n");
    return result;
  }

 private:
  CommandResult ToCommandResult(const TemplateEntry& entry) {
    CommandResult result;
    result.text = entry.yaml;
    result.json["name"] = this->name.getValue();
    result.json.update(EntryJson(entry));
    result.json["yaml"] = entry.yaml;
    return result;
  }

  TCLAP::UnlabeledValueArg<std::string> name;
  TCLAP::ValueArg<std::int64_t> version;
};

class GetCommand final : public PlatformCommand {
 public:
  explicit GetCommand(PlatformConnector& connector)
      : PlatformCommand(
            connector,
            {"template get",
             "prints a template's YAML",
             "Prints the template as its author wrote it, to edit and put "
             "again. The JSON output\nincludes its version, for `template put "
             "--if-version`.",
             {"meadowthread template get daily-report > daily-report.yaml",
              "meadowthread template get daily-report --version 12"}}) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) override {
    return std::make_unique<GetInvocation>(line);
  }
};

////////////////////
// template list  //
////////////////////

CommandResult ToListResult(const ObjectList& list) {
  CommandResult result;
  result.json["revision"] = list.revision;
  result.json["templates"] = ordered_json::array();
  TextTable table({"NAME", "VERSION", "AUTHOR", "WHEN"});
  for (const StoredObject& object : list.items) {
    const absl::StatusOr<TemplateObject> read =
        TemplateFromJson(object.value, object.version);
    if (!read.ok()) {
      table.Add({object.name, absl::StrCat(object.version), "unreadable"});
      result.json["templates"].push_back({{"name", object.name},
                                          {"version", object.version},
                                          {"unreadable", true}});
      continue;
    }
    const TemplateEntry& entry = read->current;
    table.Add({object.name, absl::StrCat(entry.version), entry.author,
               UtcTime(entry.unix_ms)});
    ordered_json item = {{"name", object.name}};
    item.update(EntryJson(entry));
    result.json["templates"].push_back(item);
  }
  result.text = table.Text();
  return result;
}

class ListInvocation final : public Invocation {
 public:
  CommandResult Run(const RunContext& context) override {
    const auto list = AwaitList(context.platform, kTemplatesKind);
    return list.ok() ? ToListResult(*list) : FailedResult(list.status());
  }
};

class ListCommand final : public PlatformCommand {
 public:
  explicit ListCommand(PlatformConnector& connector)
      : PlatformCommand(connector,
                        {"template list",
                         "lists all templates and their versions",
                         "Lists every accepted template with its version, "
                         "author and time.",
                         {"meadowthread template list",
                          "meadowthread template list --output json"}}) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& /*line*/) override {
    return std::make_unique<ListInvocation>();
  }
};

///////////////////////
// template history  //
///////////////////////

class HistoryInvocation final : public Invocation {
 public:
  explicit HistoryInvocation(TCLAP::CmdLine& line)
      : name("name", "the name of the template", true, "", "NAME", line),
        changes("", "changes", "shows what each version changed", line) {}

  CommandResult Run(const RunContext& context) override {
    const auto versions = ReadVersions(context.platform, this->name.getValue());
    if (!versions.ok()) {
      return FailedResult(versions.status());
    }
    CommandResult result;
    result.json["name"] = this->name.getValue();
    result.json["versions"] = ordered_json::array();
    TextTable table({"VERSION", "AUTHOR", "WHEN", "OPERATION"});
    for (const TemplateEntry& entry : *versions) {
      table.Add({absl::StrCat(entry.version), entry.author,
                 UtcTime(entry.unix_ms), entry.operation});
      result.json["versions"].push_back(EntryJson(entry));
    }
    result.text = table.Text();
    if (this->changes.getValue()) {
      AppendChanges(*versions, &result);
    }
    return result;
  }

 private:
  static void AppendChanges(const std::vector<TemplateEntry>& versions,
                            CommandResult* result) {
    for (std::size_t i = 0; i + 1 < versions.size(); ++i) {
      const std::string difference =
          LineDifference(versions[i + 1].yaml, versions[i].yaml);
      absl::StrAppend(&result->text, "\nversion ", versions[i].version,
                      " changed:\n", difference);
      result->json["versions"][i]["difference"] = difference;
    }
  }

  TCLAP::UnlabeledValueArg<std::string> name;
  TCLAP::SwitchArg changes;
};

class HistoryCommand final : public PlatformCommand {
 public:
  explicit HistoryCommand(PlatformConnector& connector)
      : PlatformCommand(
            connector,
            {"template history",
             "lists a template's latest versions",
             "Lists the stored versions of the template, newest first, with "
             "author and time. The\ntemplate's object keeps as many of the "
             "latest versions as fit.",
             {"meadowthread template history daily-report --changes"}}) {}

 protected:
  std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) override {
    return std::make_unique<HistoryInvocation>(line);
  }
};

}  // namespace

std::unique_ptr<Command> MakeTemplateGetCommand(PlatformConnector& connector) {
  return std::make_unique<GetCommand>(connector);
}

std::unique_ptr<Command> MakeTemplateListCommand(PlatformConnector& connector) {
  return std::make_unique<ListCommand>(connector);
}

std::unique_ptr<Command> MakeTemplateHistoryCommand(
    PlatformConnector& connector) {
  return std::make_unique<HistoryCommand>(connector);
}

}  // namespace meadowthread
