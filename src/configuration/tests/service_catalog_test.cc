#include "configuration/service_catalog.h"

#include <criterion/criterion.h>

#include <array>

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 1> kKinds = {kTemplatesKind};
const std::string kKey(64, 'a');

std::string Yaml(std::string_view name, std::string_view workspace,
                 std::string_view model_version) {
  return "name: " + std::string(name) +
         "\nmodels: [{model: reconcile, version: \"" +
         std::string(model_version) +
         "\"}]\nnot_repeatable:\n  services: [{service: rounds, methods: "
         "[POST], path_prefix: /notes}]\nworkspaces:\n  - {workspace: " +
         std::string(workspace) + ", key_sha256: [" + kKey + "]}\n";
}

struct Fixture {
  ManualClock clock{0};
  ReplicatedView view{clock, kKinds};
  ServiceCatalog catalog{view};

  void Store(std::string_view name, std::int64_t version,
             const TemplateObject& object) {
    const StoredObject stored = {"templates", std::string(name), version,
                                 TemplateToJson(object), false};
    this->view.ApplyItems({&stored, 1});
  }
  void Store(std::string_view name, std::int64_t version,
             std::string_view yaml) {
    TemplateObject object;
    object.current.yaml = std::string(yaml);
    this->Store(name, version, object);
  }
  std::int64_t VersionFor(std::string_view workspace) {
    const auto service = this->catalog.Find(workspace, "reconcile");
    return service == nullptr ? 0 : service->template_version;
  }
};

Test(a_template_in_force, is_found_by_workspace_and_model_and_by_key) {
  Fixture f;
  f.Store("report", 3, Yaml("report", "makati", "7"));
  cr_assert(f.VersionFor("makati") == 3);
  cr_assert(f.catalog.Find("makati", "other") == nullptr);
  cr_assert(f.catalog.Find("pasig", "reconcile") == nullptr);
  cr_assert(f.catalog.WorkspaceOfKey(kKey) == "makati");
  cr_assert(f.catalog.WorkspaceOfKey("b").empty());
  const ModelVersion needed = {"reconcile", "", "7"};
  cr_assert(f.catalog.Models() == std::vector<ModelVersion>{needed});
  cr_assert(f.catalog.Problems().empty());
}

Test(a_template_in_force, is_replaced_by_its_next_version_and_by_its_removal) {
  Fixture f;
  f.Store("report", 3, Yaml("report", "makati", "7"));
  const auto held = f.catalog.Find("makati", "reconcile");
  {  // it moves to another workspace
    f.Store("report", 5, Yaml("report", "pasig", "8"));
    cr_assert(f.VersionFor("makati") == 0 && f.VersionFor("pasig") == 5);
    cr_assert(f.catalog.WorkspaceOfKey(kKey) == "pasig");
    cr_assert(f.catalog.Models().front().version == "8");
  }
  {  // it is removed
    const StoredObject removal = {"templates", "report", 6, "", true};
    f.view.ApplyItems({&removal, 1});
    cr_assert(f.VersionFor("pasig") == 0 && f.catalog.Models().empty());
    cr_assert(f.catalog.WorkspaceOfKey(kKey).empty());
    cr_assert(f.catalog.TemplatesInForce().empty());
  }
  cr_assert(held->workspace == "makati");
}

Test(an_invalid_template, leaves_its_last_valid_version_in_force) {
  Fixture f;
  f.Store("report", 3, Yaml("report", "makati", "7"));
  f.Store("tags", 4, Yaml("tags", "pasig", "1"));
  f.Store("report", 5, "name: report\nmodls: []\nworkspaces: []");
  cr_assert(f.VersionFor("makati") == 3 && f.VersionFor("pasig") == 4);
  const std::vector<CatalogProblem> problems = f.catalog.Problems();
  cr_assert(problems.front().template_name == "report");
  cr_assert(problems.front().version == 5);
  cr_assert(problems.front().in_force_version == 3);
  cr_assert(problems.front().message.find("did you mean 'models'") !=
            std::string::npos);
  f.Store("report", 6, Yaml("report", "makati", "8"));
  cr_assert(f.VersionFor("makati") == 6);
}

Test(an_invalid_template,
     that_cannot_be_decoded_leaves_the_last_valid_version) {
  Fixture f;
  f.Store("report", 3, Yaml("report", "makati", "7"));
  const StoredObject broken = {"templates", "report", 4, "{", false};
  f.view.ApplyItems({&broken, 1});
  cr_assert(f.VersionFor("makati") == 3);
  cr_assert(f.catalog.Problems().front().version == 4);
}

Test(an_invalid_template, falls_back_to_its_history_on_a_host_that_starts) {
  Fixture f;
  TemplateObject object;
  object.current.yaml = "name: report";
  object.history = {{"", "", 0, "also wrong", 4},
                    {"", "", 0, Yaml("report", "makati", "7"), 3}};
  f.Store("report", 5, object);
  cr_assert(f.VersionFor("makati") == 3);
  cr_assert(f.catalog.TemplatesInForce().front().version == 3);
  cr_assert(f.catalog.Problems().front().version == 5);
  {  // a host that missed a valid version uses it from the history
    object.history.insert(object.history.begin(),
                          {"", "", 0, Yaml("report", "makati", "8"), 6});
    f.Store("report", 7, object);
    cr_assert(f.VersionFor("makati") == 6);
  }
  {  // the history never replaces a newer version in force
    object.history.erase(object.history.begin());
    f.Store("report", 8, object);
    cr_assert(f.VersionFor("makati") == 6);
  }
}

Test(an_invalid_template, is_one_whose_name_differs_from_the_object) {
  Fixture f;
  f.Store("report", 3, Yaml("tags", "makati", "7"));
  cr_assert(f.VersionFor("makati") == 0);
  cr_assert(f.catalog.Problems().size() == 1);
}

Test(conflicting_templates, are_resolved_the_same_way_in_any_order) {
  for (const bool first : {true, false}) {
    Fixture f;
    f.Store(first ? "a" : "b", 3, Yaml(first ? "a" : "b", "makati", "7"));
    f.Store(first ? "b" : "a", 4, Yaml(first ? "b" : "a", "makati", "8"));
    cr_assert(f.catalog.Find("makati", "reconcile")->template_name == "a");
    cr_assert(f.catalog.Models().size() == 2);
    const std::vector<CatalogProblem> problems = f.catalog.Problems();
    cr_assert(problems.size() == 1 && problems[0].template_name == "b");
  }
}

Test(conflicting_templates, over_a_key_are_resolved_by_the_lowest_name) {
  Fixture f;
  f.Store("b", 3, Yaml("b", "pasig", "7"));
  f.Store("a", 4, Yaml("a", "makati", "7"));
  cr_assert(f.catalog.WorkspaceOfKey(kKey) == "makati");
  cr_assert(f.catalog.Problems().front().template_name == "b");
}

Test(a_non_repeatable_call, is_recognized_in_any_spelling_of_its_path) {
  Fixture f;
  f.Store("a", 3, Yaml("a", "makati", "7"));
  for (const char* path :
       {"/notes", "/notes/7", "//notes", "/x/../notes", "/%6Eotes", "notes?a=b",
        "/./notes", "/x%2F..%2Fnotes"}) {
    cr_assert(
        f.catalog.RepeatRuleFor("makati", "rounds", "post", path).needs_key,
        "%s", path);
  }
  cr_assert(
      !f.catalog.RepeatRuleFor("makati", "rounds", "POST", "/x").needs_key);
  cr_assert(
      !f.catalog.RepeatRuleFor("makati", "rounds", "GET", "/notes").needs_key);
  cr_assert(
      !f.catalog.RepeatRuleFor("makati", "gate", "POST", "/notes").needs_key);
  cr_assert(
      !f.catalog.RepeatRuleFor("pasig", "rounds", "POST", "/notes").needs_key);
}

Test(a_template_object, keeps_its_latest_versions_within_the_size_limit) {
  TemplateObject object;
  for (int i = 1; i <= 12; ++i) {
    const TemplateEntry next = {"op", "ana", i, std::string(100, 'x'), i};
    object = NextTemplateObject(object, next, 1000);
  }
  cr_assert(object.history.size() >= 3);
  cr_assert(object.history.size() < kMaxHistory);
  cr_assert(object.history.front().version == 11);
  cr_assert(TemplateToJson(object).size() <= 1000);
  const auto read = TemplateFromJson(TemplateToJson(object), 12);
  cr_assert(read.ok() && read->current == object.current);
  cr_assert(read->history == object.history);
}

}  // namespace
}  // namespace meadowthread
