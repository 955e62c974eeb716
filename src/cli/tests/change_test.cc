#include <criterion/criterion.h>

#include "cli/host_commands.h"
#include "cli/template_commands.h"
#include "cli/tests/fake_platform.h"
#include "configuration/template_object.h"

namespace meadowthread {
namespace {

std::string Tags(const std::string& urgency) {
  return "name: tags\nmodels: [{model: tag, version: \"7\"}]\nurgency: " +
         urgency + "\nworkspaces: [{workspace: makati}]\n";
}

RunRecord Put(FakePlatformState& state, const std::string& yaml,
              std::vector<std::string> more = {}) {
  FakeConnector connector(state);
  RandomNonceSource operations;
  const auto command =
      MakeTemplatePutCommand(connector, state.clock, operations);
  more.insert(more.begin(),
              {"-", "--author", "ana", "--object-api", "http://h"});
  return RunCommand(*command, more, yaml);
}

RunRecord Mark(FakePlatformState& state,
               const std::vector<std::string>& words) {
  FakeConnector connector(state);
  RandomNonceSource operations;
  const auto command = MakeHostMarkCommand(connector, state.clock, operations);
  std::vector<std::string> all = {"--author", "ana", "--object-api",
                                  "http://h"};
  all.insert(all.begin(), words.begin(), words.end());
  return RunCommand(*command, all);
}

/// Simulates another operator overwriting the stored template.
void PutByBen(FakePlatformState& state, const std::string& yaml) {
  const auto ignore = [](const auto&) {};
  state.store.Get("templates", "tags",
                  [&](const absl::StatusOr<StoredObject>& stored) {
                    TemplateObject object =
                        *TemplateFromJson(stored->value, stored->version);
                    object = NextTemplateObject(
                        object, {"op-ben", "ben", 1, yaml, 0}, 1'000'000);
                    state.store.Put("templates", "tags", TemplateToJson(object),
                                    stored->version, ignore);
                  });
  state.store.Settle();
}

std::string ValueOfTags(FakePlatformState& state) {
  std::string value;
  state.store.Get("templates", "tags",
                  [&value](const absl::StatusOr<StoredObject>& stored) {
                    value = stored->value;
                  });
  state.store.Settle();
  return value;
}

Test(a_put_template, is_accepted_and_pushed_to_the_entry_hosts) {
  FakePlatformState state;
  state.hosts->hosts = {EntryHost("entry-1"), EntryHost("entry-2")};
  state.replies = {{"entry-1", std::string(R"({"taken":1})")},
                   {"entry-2", NoAnswer()}};
  const RunRecord run = Put(state, Tags("urgent"));
  cr_assert(run.code == ExitCode::kOk, "%s", run.err.c_str());
  cr_assert(Contains(run.out,
                     "template tags: accepted as version 1\n"
                     "pushed to 1 of 2 entry hosts"));
  const auto pushed = nlohmann::json::parse(state.calls.front());
  cr_assert(pushed["items"][0]["kind"] == "templates");
  cr_assert(pushed["items"][0]["version"] == 1);
}

Test(a_put_template, put_twice_is_one_change) {
  FakePlatformState state;
  Put(state, Tags("urgent"));
  const std::string first = ValueOfTags(state);
  const RunRecord run = Put(state, Tags("urgent"), {"--output", "json"});
  cr_assert(run.code == ExitCode::kUnchanged);
  cr_assert(nlohmann::json::parse(run.out)["result"] == "unchanged");
  // The second put confirms the stored version by a write that leaves the
  // content unchanged.
  cr_assert(ValueOfTags(state) == first);
}

Test(a_put_template, that_is_not_valid_is_never_sent) {
  FakePlatformState state;
  const RunRecord run = Put(state, Tags("sometimes"));
  cr_assert(run.code == ExitCode::kInvalid);
  cr_assert(Contains(run.err, "-:3: urgency"));
  cr_assert(state.store.WriteCalls() == 0);
}

Test(a_put_template, over_another_version_than_expected_is_a_conflict) {
  FakePlatformState state;
  Put(state, Tags("urgent"));
  PutByBen(state, Tags("batch"));
  const RunRecord run = Put(state, Tags("normal"), {"--if-version", "1"});
  cr_assert(run.code == ExitCode::kConflict);
  cr_assert(Contains(run.err, "template tags: conflict: another change"));
  cr_assert(Contains(run.err, "ben changed it to version 2"));
  cr_assert(Contains(run.err, "-3: urgency: urgent\n+3: urgency: batch\n"));
}

Test(a_put_template, whose_write_answer_was_lost_is_still_accepted) {
  for (const WriteFault fault :
       {WriteFault::kAnswerLost, WriteFault::kRequestLost}) {
    FakePlatformState state;
    Put(state, Tags("urgent"));
    state.store.FailWrites({fault});
    const RunRecord run = Put(state, Tags("batch"));
    cr_assert(run.code == ExitCode::kOk);
    cr_assert(Contains(run.out, "accepted as version 2\n"));
  }
}

Test(a_put_template, is_a_conflict_if_the_history_shows_another_put_first) {
  FakePlatformState state;
  Put(state, Tags("urgent"));
  state.store.FailWrites({WriteFault::kRequestLost});
  state.before_first_task = [&state] { PutByBen(state, Tags("batch")); };
  cr_assert(Put(state, Tags("normal")).code == ExitCode::kConflict);
}

Test(a_put_template, whose_outcome_cannot_be_confirmed_is_unknown) {
  FakePlatformState state;
  state.store.FailWrites(std::vector<WriteFault>(20, WriteFault::kRequestLost));
  const RunRecord run = Put(state, Tags("urgent"));
  cr_assert(run.code == ExitCode::kUnknown);
  cr_assert(Contains(run.err, "--operation "));
}

Test(a_put_template, is_not_applied_while_the_platform_is_down) {
  FakePlatformState state;
  state.store.SetDown(true);
  cr_assert(Put(state, Tags("urgent")).code == ExitCode::kUnavailable);
}

Test(a_host, marked_twice_alike_is_unchanged) {
  FakePlatformState state;
  state.hosts->hosts = {EntryHost("entry-1")};
  cr_assert(Mark(state, {"entry-1", "stopping", "--handover"}).code ==
            ExitCode::kOk);
  cr_assert(Mark(state, {"entry-1", "stopping", "--handover"}).code ==
            ExitCode::kUnchanged);
  cr_assert(Mark(state, {"entry-1", "live"}).code == ExitCode::kOk);
}

Test(a_host, missing_from_the_host_list_is_marked_only_with_unlisted) {
  FakePlatformState state;
  state.hosts->hosts = {EntryHost("entry-1")};
  cr_assert(Mark(state, {"entri-1", "leaving"}).code == ExitCode::kNotFound);
  cr_assert(state.store.WriteCalls() == 0);
  cr_assert(Mark(state, {"entri-1", "leaving", "--unlisted"}).code ==
            ExitCode::kOk);
}

Test(a_host, is_marked_while_the_host_list_is_down) {
  FakePlatformState state;
  state.hosts = NoAnswer();
  const RunRecord run = Mark(state, {"entry-1", "leaving"});
  cr_assert(run.code == ExitCode::kOk);
  cr_assert(Contains(run.out, "pushed to 0 of 0 entry hosts"));
  cr_assert(Mark(state, {"entry-1", "gone"}).code == ExitCode::kUsage);
}

}  // namespace
}  // namespace meadowthread
