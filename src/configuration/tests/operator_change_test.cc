#include "configuration/operator_change.h"

#include <criterion/criterion.h>

#include <array>

#include "base/manual_scheduler.h"
#include "configuration/template_object.h"
#include "configuration/text_difference.h"
#include "store/memory_store.h"
#include "store/tests/forwarding_store.h"

namespace meadowthread {
namespace {

std::string Yaml(std::string_view urgency) {
  return "name: report\nmodels: []\nurgency: " + std::string(urgency) +
         "\nworkspaces: [{workspace: makati}]\n";
}

// The next `stale_gets` reads return an earlier state.
class StaleStore final : public ForwardingStore {
 public:
  StaleStore() : ForwardingStore(this->memory) {}

  void Get(std::string_view kind, std::string_view name,
           const GetDone& done) override {
    if (this->stale_gets == 0) {
      this->memory.Get(kind, name, done);
      return;
    }
    --this->stale_gets;
    this->earlier.Get(kind, name, done);
  }
  void Settle() {
    this->memory.Settle();
    this->earlier.Settle();
    this->memory.Settle();
  }

  MemoryStore memory;
  MemoryStore earlier;
  int stale_gets = 0;
};

struct Fixture {
  StaleStore stale;
  MemoryStore& store = this->stale.memory;
  ManualClock clock{0};
  ManualScheduler scheduler{&this->clock};
  OperatorChanges changes{this->stale, this->scheduler};
  std::vector<ChangeResult> results;

  void Start(const TemplateChange& change) {
    this->changes.PutTemplate(change, [this](const ChangeResult& result) {
      this->results.push_back(result);
    });
  }
  void Run() {
    for (int i = 0; i < 100; ++i) {
      this->stale.Settle();
      this->clock.Advance(100);
      this->scheduler.RunDue();
    }
  }
  ChangeResult Put(std::string_view operation, std::string_view urgency,
                   std::optional<std::int64_t> base = std::nullopt) {
    this->results.clear();
    this->Start({Yaml(urgency), "ana", std::string(operation), 7, base});
    this->Run();
    cr_assert(this->results.size() == 1);
    return this->results.front();
  }
  ChangeResult Mark(std::string_view operation, HostMark mark) {
    this->results.clear();
    this->changes.PutMark(
        {"host-1", mark, false, std::string(operation), "ben", 7},
        [this](const ChangeResult& result) { results.push_back(result); });
    this->Run();
    cr_assert(this->results.size() == 1);
    return this->results.front();
  }
  TemplateObject Stored() {
    TemplateObject object;
    this->store.Get("templates", "report", [&object](const auto& answer) {
      object = *TemplateFromJson(answer->value, answer->version);
    });
    this->store.Settle();
    return object;
  }
};

Test(a_change, is_accepted_when_its_update_is_applied) {
  Fixture f;
  const ChangeResult first = f.Put("op-1", "urgent");
  cr_assert(first.outcome == ChangeOutcome::kAccepted && first.version == 1);
  const ChangeResult second = f.Put("op-2", "batch");
  cr_assert(second.outcome == ChangeOutcome::kAccepted && second.version == 2);
  cr_assert(second.object.version == 2);
  {  // the first change is in the history
    const TemplateObject stored = f.Stored();
    cr_assert(stored.current.operation == "op-2");
    cr_assert(stored.history.size() == 1);
    cr_assert(stored.history.front().operation == "op-1");
    cr_assert(stored.history.front().version == 1);
  }
}

Test(a_change, with_unchanged_content_adds_no_history) {
  Fixture f;
  f.Put("op-1", "urgent");
  const ChangeResult again = f.Put("op-2", "urgent");
  cr_assert(again.outcome == ChangeOutcome::kUnchanged && again.version == 2);
  cr_assert(f.Stored().current.operation == "op-1");
  cr_assert(f.Stored().history.empty());
}

Test(a_change, that_is_invalid_is_rejected_without_a_write) {
  Fixture f;
  const ChangeResult result = f.Put("op-1", "soon");
  cr_assert(result.outcome == ChangeOutcome::kInvalid);
  cr_assert(result.problems.front().field == "urgency");
  cr_assert(f.store.WriteCalls() + f.store.ReadCalls() == 0);
}

Test(a_change, too_large_to_store_is_rejected) {
  Fixture f;
  f.Start({Yaml("urgent") + "#" + std::string(1 << 20, 'x'), "", "op", 0, {}});
  f.Run();
  cr_assert(f.results.front().outcome == ChangeOutcome::kInvalid);
  cr_assert(f.store.WriteCalls() == 0);
}

Test(a_lost_answer, to_an_applied_update_is_reported_as_accepted) {
  Fixture f;
  f.store.FailWrites({WriteFault::kAnswerLost});
  const ChangeResult result = f.Put("op-1", "urgent");
  cr_assert(result.outcome == ChangeOutcome::kAccepted && result.version == 1);
  cr_assert(f.store.WriteCalls() == 1);
}

Test(a_lost_answer, to_a_lost_update_is_resolved_by_a_retry) {
  Fixture f;
  f.store.FailWrites({WriteFault::kRequestLost, WriteFault::kRequestLost});
  const ChangeResult result = f.Put("op-1", "urgent");
  cr_assert(result.outcome == ChangeOutcome::kAccepted && result.version == 1);
  cr_assert(f.store.WriteCalls() == 3);
}

Test(a_delayed_update, cannot_be_applied_after_the_change_was_resolved) {
  Fixture f;
  f.store.FailWrites({WriteFault::kDelayed});
  cr_assert(f.Put("op-1", "urgent").outcome == ChangeOutcome::kAccepted);
  cr_assert(f.Put("op-2", "batch").outcome == ChangeOutcome::kAccepted);
  f.store.ReleaseDelayed();
  cr_assert(f.Stored().current.operation == "op-2");
}

Test(a_delayed_update, applied_after_the_read_back_is_accepted_once) {
  Fixture f;
  f.store.FailWrites({WriteFault::kDelayed});
  f.Start({Yaml("urgent"), "ana", "op-1", 7, {}});
  f.store.Settle();
  f.clock.Advance(100);
  f.scheduler.RunDue();
  f.store.Settle();  // the read-back doesn't show the update
  f.store.ReleaseDelayed();
  f.Run();
  cr_assert(f.results.front().outcome == ChangeOutcome::kAccepted);
  cr_assert(f.results.front().version == 1 && f.store.Revision() == 1);
}

Test(a_change_with_unknown_outcome, is_reported_and_resolved_by_a_rerun) {
  Fixture f;
  f.store.FailWrites(std::vector<WriteFault>(3, WriteFault::kDelayed));
  const ChangeResult result = f.Put("op-1", "urgent");
  cr_assert(result.outcome == ChangeOutcome::kUnknown);
  cr_assert(result.message.find("same operation id") != std::string::npos);
  f.store.ReleaseDelayed();
  {  // the command is run again
    const ChangeResult again = f.Put("op-1", "urgent");
    cr_assert(again.outcome == ChangeOutcome::kAccepted && again.version == 1);
  }
  {  // the command is run once more after another change
    f.Put("op-2", "batch");
    const ChangeResult late = f.Put("op-1", "urgent");
    cr_assert(late.outcome == ChangeOutcome::kAccepted && late.version == 1);
    cr_assert(late.superseded && f.Stored().current.operation == "op-2");
  }
}

Test(a_change_in_an_outage, is_reported_as_not_applied) {
  Fixture f;
  f.store.SetDown(true);
  cr_assert(f.Put("op-1", "urgent").outcome == ChangeOutcome::kNotApplied);
  f.store.SetDown(false);
  cr_assert(f.store.Revision() == 0);
}

Test(a_change_in_an_outage, with_an_unanswered_update_is_unknown) {
  Fixture f;
  f.store.FailWrites({WriteFault::kDelayed});
  f.Start({Yaml("urgent"), "ana", "op-1", 7, {}});
  f.store.Settle();
  f.store.SetDown(true);
  f.Run();
  cr_assert(f.results.front().outcome == ChangeOutcome::kUnknown);
}

Test(racing_operators, see_who_changed_what) {
  Fixture f;
  f.Put("op-1", "urgent");
  f.results.clear();
  f.Start({Yaml("batch"), "ana", "op-2", 8, {}});
  f.Start({Yaml("normal"), "ben", "op-3", 9, {}});
  f.Run();
  cr_assert(f.results.size() == 2);
  cr_assert(f.results[0].outcome == ChangeOutcome::kAccepted);
  const ChangeResult& lost = f.results[1];
  cr_assert(lost.outcome == ChangeOutcome::kConflict);
  cr_assert(!lost.may_have_been_in_force && lost.object.version == 2);
  cr_assert(lost.difference ==
                "ana changed it to version 2 at 8:\n-3: urgency: urgent\n+3: "
                "urgency: batch\n",
            "%s", lost.difference.c_str());
}

Test(racing_operators, get_a_conflict_on_an_outdated_base_version) {
  Fixture f;
  f.Put("op-1", "urgent");
  f.Put("op-2", "batch", 1);
  const ChangeResult lost = f.Put("op-3", "normal", 1);
  cr_assert(lost.outcome == ChangeOutcome::kConflict);
  cr_assert(lost.difference.find("-3: urgency: urgent") != std::string::npos);
  cr_assert(f.Put("op-4", "normal", 0).outcome == ChangeOutcome::kConflict);
  cr_assert(f.Put("op-5", "normal", 2).outcome == ChangeOutcome::kAccepted);
}

Test(racing_operators, learn_that_an_unanswered_update_may_have_been_in_force) {
  Fixture f;
  f.store.FailWrites({WriteFault::kRequestLost});
  f.Start({Yaml("batch"), "ana", "op-1", 8, {}});
  f.store.Settle();
  f.Start({Yaml("normal"), "ben", "op-2", 9, {}});
  f.Run();
  cr_assert(f.results[0].outcome == ChangeOutcome::kAccepted);
  cr_assert(f.results[1].outcome == ChangeOutcome::kConflict);
  cr_assert(f.results[1].may_have_been_in_force);
}

Test(a_stale_read, is_never_taken_for_the_current_object) {
  Fixture f;
  f.Put("op-1", "urgent");
  f.stale.earlier = f.stale.memory;
  f.Put("op-2", "batch");
  {  // a stale read returns an old version with the same content
    f.stale.stale_gets = 1;
    const ChangeResult lost = f.Put("op-3", "urgent");
    cr_assert(lost.outcome == ChangeOutcome::kConflict);
    cr_assert(f.Stored().current.operation == "op-2");
  }
  {  // the operator has seen a newer version than the read returns
    f.stale.stale_gets = 2;
    cr_assert(f.Put("op-4", "normal", 2).outcome == ChangeOutcome::kAccepted);
  }
  {  // the answer is lost and the read-back is stale
    f.stale.earlier = f.stale.memory;
    f.store.FailWrites({WriteFault::kAnswerLost});
    f.stale.stale_gets = 2;
    const ChangeResult result = f.Put("op-5", "batch");
    cr_assert(result.outcome == ChangeOutcome::kAccepted);
    cr_assert(result.version == f.store.Revision());
  }
}

Test(a_mark, is_stored_like_a_template) {
  Fixture f;
  cr_assert(f.Mark("op-1", HostMark::kLeaving).version == 1);
  cr_assert(f.Mark("op-2", HostMark::kLeaving).outcome ==
            ChangeOutcome::kUnchanged);
  f.store.FailWrites({WriteFault::kAnswerLost});
  cr_assert(f.Mark("op-3", HostMark::kStopping).version == 3);
}

Test(a_difference, shows_only_the_lines_that_differ) {
  cr_assert(LineDifference("a\nb\nc", "a\nb\nc").empty());
  cr_assert(LineDifference("a\nb\nc\nd", "a\nx\nc\nd\ne") ==
            "-2: b\n+2: x\n+5: e\n");
  cr_assert(LineDifference("", "a") == "-1: \n+1: a\n");
  std::string many;
  for (int i = 0; i < 3000; ++i) {
    many += std::to_string(i) + "\n";
  }
  cr_assert(LineDifference("x\n" + many, many + "y\n").size() > many.size());
}

}  // namespace
}  // namespace meadowthread
