#include "placement/engine_table.h"

#include <criterion/criterion.h>

#include "placement/group_assignment.h"

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

OwnershipSettings Settings() {
  OwnershipSettings settings;
  settings.deployment = "lukot";
  settings.default_owner = "lukot";
  return settings;
}

/// One engine, "e", that is listed and has reported once.
struct Fixture {
  Fixture() {
    this->view.SetRegistered();
    this->view.ConfirmReadSince(this->clock.MonotonicMs() + 1);
    this->ListWithReport(DesiredState{"mixed", {}});
  }

  void ListWithReport(const DesiredState& state) {
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

  /// Sends the due orders and answers each with `outcome`; returns their
  /// number.
  std::size_t SendDue(OrderOutcome outcome) {
    const std::vector<EngineOrder> due = this->table.TakeDueOrders();
    OrderResult result;
    result.outcome = outcome;
    for (const EngineOrder& order : due) {
      this->table.OnResult(order, result);
    }
    return due.size();
  }

  PlacedEngine Engine() { return this->table.PlannerView(this->view).at(0); }

  ManualClock clock{1'000'000};
  EngineTable table{EngineTableSettings{}, clock};
  OwnershipView view{Settings(), clock};
};

Test(a_pending_order, is_sent_again_until_the_engine_reports_its_state) {
  Fixture fixture;
  fixture.Order();
  cr_assert(fixture.SendDue(OrderOutcome::kUnknown) == 1);
  cr_assert(fixture.SendDue(OrderOutcome::kUnknown) == 0);
  fixture.clock.Advance(5'000);
  cr_assert(fixture.SendDue(OrderOutcome::kApplied) == 1);
  cr_assert(fixture.Engine().ordered == kWithM);
  fixture.ListWithReport(kWithM);
  cr_assert(fixture.table.FinishOrders().completed == 1);
  cr_assert(!fixture.Engine().ordered.has_value() &&
            !fixture.Engine().cooled_down);
  fixture.clock.Advance(30'000);
  cr_assert(fixture.Engine().cooled_down);
}

Test(a_pending_order, is_read_back_whatever_its_outcome) {
  Fixture fixture;
  fixture.Order();
  fixture.SendDue(OrderOutcome::kUnknown);
  fixture.clock.Advance(1'000);
  cr_assert(fixture.table.TakeDueReads().size() == 1);
  cr_assert(fixture.table.TakeDueReads().empty());
}

Test(a_pending_order, times_out) {
  Fixture fixture;
  fixture.Order();
  fixture.SendDue(OrderOutcome::kApplied);
  fixture.clock.Advance(120'000);
  fixture.ListWithReport(DesiredState{"mixed", {}});
  cr_assert(fixture.table.FinishOrders().timed_out == 1);
  cr_assert(!fixture.Engine().ordered.has_value());
}

Test(an_engine, that_keeps_refusing_gets_no_orders_for_a_while) {
  Fixture fixture;
  for (int time = 0; time < 3; ++time) {
    cr_assert(fixture.Engine().owned);
    fixture.Order();
    fixture.SendDue(OrderOutcome::kStaleFence);
    fixture.table.DropOrders();  // as when the holder steps down
  }
  cr_assert(!fixture.Engine().owned);
  fixture.clock.Advance(600'000);
  cr_assert(fixture.Engine().owned);
}

Test(an_engine, that_stops_reporting_is_silent_and_later_gone) {
  Fixture fixture;
  cr_assert(fixture.Engine().state == EngineLiveness::kLive);
  fixture.clock.Advance(6'000);
  cr_assert(fixture.Engine().state == EngineLiveness::kSilent);
  fixture.clock.Advance(19'000);
  cr_assert(fixture.Engine().state == EngineLiveness::kGone);
}

Test(an_engine, is_not_kept_alive_by_an_old_report) {
  Fixture fixture;
  fixture.clock.Advance(3'000);
  ListedEngine engine;
  engine.name = "e";
  engine.report = Report(1'000'000, DesiredState{});
  const std::vector<ListedEngine> listed = {engine};
  fixture.table.Update(listed);
  fixture.clock.Advance(3'000);
  cr_assert(fixture.Engine().state == EngineLiveness::kSilent);
}

Test(a_restarted_engine, is_live_although_its_clock_was_set_back) {
  Fixture fixture;
  LoadReport next = Report(900'000, DesiredState{"mixed", {}});
  next.incarnation = "2";
  fixture.clock.Advance(7'000);
  cr_assert(fixture.Engine().state == EngineLiveness::kSilent);
  fixture.table.ApplyReport("e", next);
  cr_assert(fixture.Engine().state == EngineLiveness::kLive);
  // A late report of the previous incarnation changes nothing.
  fixture.clock.Advance(7'000);
  fixture.table.ApplyReport("e", Report(2'000'000, kWithM));
  cr_assert(fixture.Engine().state == EngineLiveness::kSilent);
  cr_assert(fixture.Engine().reported.models.empty());
}

Test(a_restarted_engine, gets_orders_despite_earlier_refusals) {
  Fixture fixture;
  for (int time = 0; time < 3; ++time) {
    fixture.Order();
    fixture.SendDue(OrderOutcome::kStaleFence);
    fixture.table.DropOrders();
  }
  cr_assert(!fixture.Engine().owned);
  LoadReport next = Report(fixture.clock.WallMs(), DesiredState{"mixed", {}});
  next.incarnation = "2";
  fixture.table.ApplyReport("e", next);
  cr_assert(fixture.Engine().owned);
}

Test(a_free_lease, is_tried_first_by_one_host_and_early_by_three) {
  std::vector<std::string> hosts;
  hosts.reserve(350);
  for (int index = 0; index < 350; ++index) {
    hosts.push_back("h" + std::to_string(index));
  }
  int early = 0;
  int first = 0;
  for (const std::string& host : hosts) {
    const std::int64_t delay_ms =
        TakeoverDelayMs(host, PlacementLeaseName("lukot", 64, 7), hosts);
    early += delay_ms < 3'000 ? 1 : 0;
    first += delay_ms == 0 ? 1 : 0;
  }
  cr_assert(early == 3 && first == 1);
}

}  // namespace
}  // namespace meadowthread
