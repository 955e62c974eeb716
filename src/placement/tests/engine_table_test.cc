#include "placement/engine_table.h"

#include <criterion/criterion.h>

#include "placement/duty.h"

namespace meadowthread {
namespace {

const DesiredState kWithM{"mixed", {{"m", "", "1"}}};

LoadReport Report(std::int64_t as_of_ms, const DesiredState& state) {
  LoadReport report;
  report.incarnation = "1";
  report.as_of_unix_ms = as_of_ms;
  report.role = state.role;
  report.models = state.models;
  return report;
}

OwnershipSettings Half() {
  OwnershipSettings settings;
  settings.half = "lukot";
  settings.default_owner = "lukot";
  return settings;
}

/// One engine, "e", that is listed and has reported once.
struct Scene {
  Scene() {
    this->view.SetRegistered();
    this->view.Confirm(this->clock.MonotonicMs() + 1);
    this->Hear(DesiredState{"mixed", {}});
  }

  void Hear(const DesiredState& state) {
    ListedEngine engine;
    engine.name = "e";
    engine.report = Report(this->clock.WallMs(), state);
    const std::vector<ListedEngine> listed = {engine};
    this->table.Update(listed);
  }

  void Order() {
    EngineChange change;
    change.engine = "e";
    change.desired = kWithM;
    this->table.Order(change);
  }

  /// Sends what is due, and answers it.
  std::size_t Send(OrderOutcome outcome) {
    const std::vector<EngineOrder> due = this->table.TakeDue();
    OrderResult result;
    result.outcome = outcome;
    for (const EngineOrder& order : due) {
      this->table.OnResult(order, result);
    }
    return due.size();
  }

  PlacedEngine Engine() { return this->table.View(this->view).at(0); }

  ManualClock clock{1'000'000};
  EngineTable table{EngineTableSettings{}, clock};
  OwnershipView view{Half(), clock};
};

Test(an_order_under_way, is_sent_again_until_the_engine_reports_its_state) {
  Scene scene;
  scene.Order();
  cr_assert(scene.Send(OrderOutcome::kUnknown) == 1);
  cr_assert(scene.Send(OrderOutcome::kUnknown) == 0);
  scene.clock.Advance(5'000);
  cr_assert(scene.Send(OrderOutcome::kApplied) == 1);
  cr_assert(scene.Engine().ordered == kWithM);
  scene.Hear(kWithM);
  cr_assert(scene.table.Settle().carried_out == 1);
  cr_assert(!scene.Engine().ordered.has_value() && !scene.Engine().settled);
  scene.clock.Advance(30'000);
  cr_assert(scene.Engine().settled);
}

Test(an_order_under_way, is_read_back_whatever_became_of_it) {
  Scene scene;
  scene.Order();
  scene.Send(OrderOutcome::kUnknown);
  scene.clock.Advance(1'000);
  cr_assert(scene.table.TakeReadsDue().size() == 1);
  cr_assert(scene.table.TakeReadsDue().empty());
}

Test(an_order_under_way, is_given_up_in_the_end) {
  Scene scene;
  scene.Order();
  scene.Send(OrderOutcome::kApplied);
  scene.clock.Advance(120'000);
  scene.Hear(DesiredState{"mixed", {}});
  cr_assert(scene.table.Settle().given_up == 1);
  cr_assert(!scene.Engine().ordered.has_value());
}

Test(an_engine, that_keeps_refusing_is_left_alone_for_a_while) {
  Scene scene;
  for (int time = 0; time < 3; ++time) {
    cr_assert(scene.Engine().owned);
    scene.Order();
    scene.Send(OrderOutcome::kStaleFence);
    scene.table.ForgetOrders();  // its holder has stepped down
  }
  cr_assert(!scene.Engine().owned);
  scene.clock.Advance(600'000);
  cr_assert(scene.Engine().owned);
}

Test(an_engine, that_reports_no_more_is_silent_before_it_is_gone) {
  Scene scene;
  cr_assert(scene.Engine().state == EngineState::kLive);
  scene.clock.Advance(6'000);
  cr_assert(scene.Engine().state == EngineState::kSilent);
  scene.clock.Advance(19'000);
  cr_assert(scene.Engine().state == EngineState::kGone);
}

Test(an_engine, is_not_kept_alive_by_an_old_report) {
  Scene scene;
  scene.clock.Advance(3'000);
  ListedEngine engine;
  engine.name = "e";
  engine.report = Report(1'000'000, DesiredState{});
  const std::vector<ListedEngine> listed = {engine};
  scene.table.Update(listed);
  scene.clock.Advance(3'000);
  cr_assert(scene.Engine().state == EngineState::kSilent);
}

Test(an_engine_started_again, is_heard_though_its_clock_was_put_back) {
  Scene scene;
  LoadReport next = Report(900'000, DesiredState{"mixed", {}});
  next.incarnation = "2";
  scene.clock.Advance(7'000);
  cr_assert(scene.Engine().state == EngineState::kSilent);
  scene.table.TakeReport("e", next);
  cr_assert(scene.Engine().state == EngineState::kLive);
  // And a late report of the start before does not bring that back.
  scene.clock.Advance(7'000);
  scene.table.TakeReport("e", Report(2'000'000, kWithM));
  cr_assert(scene.Engine().state == EngineState::kSilent);
  cr_assert(scene.Engine().reported.models.empty());
}

Test(an_engine_started_again, is_not_left_alone_for_what_it_refused_before) {
  Scene scene;
  for (int time = 0; time < 3; ++time) {
    scene.Order();
    scene.Send(OrderOutcome::kStaleFence);
    scene.table.ForgetOrders();
  }
  cr_assert(!scene.Engine().owned);
  LoadReport next = Report(scene.clock.WallMs(), DesiredState{"mixed", {}});
  next.incarnation = "2";
  scene.table.TakeReport("e", next);
  cr_assert(scene.Engine().owned);
}

Test(duties, spread_over_the_hosts_and_few_hosts_try_for_each) {
  std::vector<std::string> hosts;
  hosts.reserve(350);
  for (int index = 0; index < 350; ++index) {
    hosts.push_back("h" + std::to_string(index));
  }
  int prompt = 0;
  int first = 0;
  for (const std::string& host : hosts) {
    const std::int64_t delay_ms =
        TakeoverDelayMs(host, PlacementDuty("lukot", 64, 7), hosts);
    prompt += delay_ms < 3'000 ? 1 : 0;
    first += delay_ms == 0 ? 1 : 0;
  }
  cr_assert(prompt == 3 && first == 1);
}

}  // namespace
}  // namespace meadowthread
