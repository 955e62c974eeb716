#include "configuration/template_document.h"

#include <criterion/criterion.h>

#include "base/error.h"

namespace meadowthread {
namespace {

const std::string kDigest(64, 'a');

const char kReport[] = R"(name: daily-report
parameters: [urgency, adapter]
models:
  - {model: reconcile, adapter: "${adapter}", version: "7"}
urgency: "${urgency}"
delivery: whole
not_repeatable:
  requests: keyed
  services:
    - {service: rounds, methods: [POST], path_prefix: /notes}
  key_form: opaque
limits: {requests_per_second: 2.5, concurrent: 4, deadline_ms: 60000}
workspaces:
  - workspace: makati
    key_sha256: ["KEY"]
    weight: 3
    parameters: {urgency: urgent, adapter: stains}
  - workspace: pasig
    parameters: {urgency: batch, adapter: ""}
)";

std::string Replaced(std::string text, std::string_view old_part,
                     std::string_view new_part) {
  const std::size_t at = text.find(old_part);
  cr_assert(at != std::string::npos);
  return text.replace(at, old_part.size(), new_part);
}

std::string Report() { return Replaced(kReport, "KEY", kDigest); }

// All problems of the report template with one part replaced, one per line.
std::string ProblemsWith(std::string_view old_part, std::string_view new_part) {
  std::string all;
  for (const TemplateProblem& problem :
       ParseTemplate(Replaced(Report(), old_part, new_part), 1).problems) {
    all += ToText(problem) + "\n";
  }
  return all;
}

void AssertProblems(std::string_view old_part, std::string_view new_part,
                    std::string_view expected) {
  const std::string got = ProblemsWith(old_part, new_part);
  cr_assert(got == expected, "%s", got.c_str());
}

Test(a_template, has_its_parameters_substituted_per_workspace) {
  const ParsedTemplate parsed = ParseTemplate(Report(), 12);
  cr_assert(parsed.IsValid());
  cr_assert(parsed.document.name == "daily-report");
  cr_assert(parsed.document.services.size() == 2);
  {  // the first workspace uses every field
    const WorkspaceService& makati = parsed.document.services[0];
    const ModelVersion model = {"reconcile", "stains", "7"};
    const NonRepeatableCalls calls = {"rounds", {"POST"}, "/notes"};
    cr_assert(makati.workspace == "makati");
    cr_assert(makati.template_name == "daily-report");
    cr_assert(makati.template_version == 12);
    cr_assert(makati.models == std::vector<ModelVersion>{model});
    cr_assert(makati.urgency == Urgency::kUrgent);
    cr_assert(makati.delivery == Delivery::kWhole);
    cr_assert(makati.not_repeatable.requests == GenerationClaims::kKeyed);
    cr_assert(makati.not_repeatable.key_form == KeyForm::kOpaque);
    cr_assert(makati.not_repeatable.services.front() == calls);
    cr_assert(makati.limits.requests_per_second == 2.5);
    cr_assert(makati.limits.concurrent == 4);
    cr_assert(makati.limits.deadline_ms == 60000);
    cr_assert(makati.weight == 3);
    cr_assert(parsed.document.keys[0].key_sha256.front() == kDigest);
  }
  {  // the second workspace has its own parameters and default values
    const WorkspaceService& pasig = parsed.document.services[1];
    cr_assert(pasig.urgency == Urgency::kBatch);
    cr_assert(pasig.models.front().adapter.empty());
    cr_assert(pasig.weight == 1);
  }
}

Test(a_template, requires_only_name_models_and_workspaces) {
  const ParsedTemplate parsed =
      ParseTemplate("name: a\nmodels: []\nworkspaces: []", 1);
  cr_assert(parsed.IsValid());
  cr_assert(ParseTemplate("{}", 1).problems.size() == 3);
}

Test(an_invalid_template, reports_the_nearest_known_field) {
  AssertProblems("delivery:", "delivry:",
                 "line 6: delivry: is unknown; did you mean 'delivery'?\n");
  AssertProblems("concurrent", "concurent",
                 "line 12: limits.concurent: is unknown; did you mean "
                 "'concurrent'?\n");
  AssertProblems("weight: 3", "xyzzy: 3",
                 "line 16: workspaces[0].xyzzy: is unknown; known are: "
                 "workspace, key_sha256, weight, parameters\n");
}

Test(an_invalid_template, reports_invalid_parameters) {
  AssertProblems("urgency: urgent, adapter", "urgncy: urgent, adapter",
                 "line 14: workspaces[0].parameters.urgency: is missing: the "
                 "template declares it\n"
                 "line 17: workspaces[0].parameters.urgncy: is unknown; did "
                 "you mean 'urgency'?\n");
  AssertProblems("${urgency}", "${hurry}",
                 "line 5: urgency: parameter 'hurry' is not declared under "
                 "'parameters'\n");
  AssertProblems("urgency: batch", "urgency: lazy",
                 "line 5: urgency: 'lazy' is none of: urgent, normal, batch "
                 "(workspace pasig)\n");
  AssertProblems("${adapter}", "${adapter",
                 "line 4: models[0].adapter: '${' is not closed by '}'\n");
}

Test(an_invalid_template, reports_invalid_values) {
  AssertProblems("requests: keyed", "requests: most",
                 "line 8: not_repeatable.requests: 'most' is none of: none, "
                 "keyed, all\n");
  AssertProblems("concurrent: 4", "concurrent: -4",
                 "line 12: limits.concurrent: '-4' is not a whole number from "
                 "0 to 1000000000\n");
  AssertProblems("2.5", "nan",
                 "line 12: limits.requests_per_second: 'nan' is not a number "
                 "from 0 to 1e+09\n");
  AssertProblems("/notes", "notes",
                 "line 10: not_repeatable.services[0].path_prefix: does not "
                 "start with '/'\n");
  AssertProblems("name: daily-report", "name: Daily",
                 "line 1: name: 'Daily' may hold only a-z, 0-9 and -, 1 to 63 "
                 "of them\n");
  AssertProblems("delivery: whole", "delivery: [whole]",
                 "line 6: delivery: is not a single value\n");
}

Test(an_invalid_template, reports_duplicates) {
  AssertProblems("delivery: whole", "urgency: normal",
                 "line 6: urgency: is given twice\n");
  AssertProblems("workspace: pasig", "workspace: makati",
                 "line 18: workspaces[1].workspace: 'makati' is given twice\n");
  AssertProblems("models:\n", "models:\n  - {model: reconcile, version: 8}\n",
                 "line 5: models[1].model: 'reconcile' is given twice\n");
}

Test(an_invalid_template, never_prints_a_possible_secret) {
  AssertProblems(kDigest, "sk-secret",
                 "line 15: workspaces[0].key_sha256[0]: is not 64 hexadecimal "
                 "digits of a SHA-256\n");
}

Test(an_invalid_template, reports_all_problems_at_once) {
  const std::string text =
      Replaced(Replaced(Report(), "delivery: whole", "delivery: hole"),
               "weight: 3", "weight: many");
  const ParsedTemplate parsed = ParseTemplate(text, 1);
  cr_assert(parsed.problems.size() == 2);
  cr_assert(parsed.problems[0].line == 6 && parsed.problems[1].line == 16);
  const absl::Status status = TemplateInvalid(parsed.problems);
  cr_assert(DetailOf(status).id == ErrorId::kTemplateInvalid);
  cr_assert(DetailOf(status).field == "delivery");
}

Test(a_malformed_document, is_rejected_without_a_crash) {
  const std::vector<std::string> texts = {
      "",
      "7",
      "[]",
      "a: [",
      "\xff\xfe",
      "---\na: 1\n---\nb: 2",
      "&a [*a]",
      "name: &n [*n]",
      "workspaces: {a: 1}",
      "models: [[[]]]",
      "? {a: 1}\n: 2",
      "workspaces: [~, 1, {parameters: 3}]",
      ", name: a",
      "{name: a, models: [], workspaces: []} x",
      std::string(100000, '[')};
  for (const std::string& text : texts) {
    cr_assert(!ParseTemplate(text, 1).IsValid(), "%.40s", text.c_str());
  }
}

}  // namespace
}  // namespace meadowthread
