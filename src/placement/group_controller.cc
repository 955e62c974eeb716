#include "placement/group_controller.h"

#include "absl/strings/str_cat.h"
#include "base/log_line.h"
#include "placement/duty.h"

namespace meadowthread {
namespace {

// Shares cannot be lent between groups: what a group does not use is lost, and
// no holder needs to know of another.
LoadBudgetSettings ShareOf(const PlacementControllerSettings& settings) {
  LoadBudgetSettings share = settings.budget;
  share.loads_per_second /= settings.groups;
  return share;
}

void LogShortage(const std::string& duty, std::int64_t fence,
                 const Shortage& shortage) {
  LogLine line("placement");
  line.Add("duty", duty).Add("fence", fence);
  line.Add("model", shortage.key.model).Add("adapter", shortage.key.adapter);
  line.Add("version", shortage.key.version).Add("copies", shortage.copies);
  line.Add("why", "shortage");
  line.Write();
}

}  // namespace

GroupController::GroupController(std::string_view half, int of_group,
                                 const PlacementControllerSettings& with,
                                 const PlacementContext& in)
    : group(of_group),
      settings(with),
      context(in),
      lease(PlacementDuty(half, with.groups, of_group), with.lease, in.store,
            in.clock, in.nonces),
      orderer(in.http, this->lease, in.ownership, in.clock),
      engine_client(in.http, EngineLimits{}),
      table(with.engines, in.clock),
      budget(ShareOf(with), in.clock) {}

void GroupController::Tick() {
  this->lease.Tick();
  if (this->lease.Held()) {
    this->Work();
  } else if (this->held_since_ms.has_value()) {
    this->held_since_ms.reset();
    this->table.ForgetOrders();
  }
}

void GroupController::RankSelf() {
  this->lease.SetTakeoverDelay(
      TakeoverDelayMs(this->settings.lease.holder, this->lease.Duty(),
                      this->context.source.LiveHosts()));
}

void GroupController::Work() {
  const std::int64_t now_ms = this->context.clock.MonotonicMs();
  if (!this->held_since_ms.has_value()) {
    this->held_since_ms = now_ms;
  }
  this->UpdateTable();
  const OrderProgress progress = this->table.Settle();
  for (int order = 0; order < progress.carried_out; ++order) {
    this->budget.OnLoaded();
  }
  if (progress.given_up > 0) {
    this->OnRefused(-1);
  }
  const bool looked_on =
      now_ms - *this->held_since_ms >= this->settings.look_on_ms;
  if (looked_on && now_ms - this->planned_ms >= this->settings.plan_every_ms) {
    this->planned_ms = now_ms;
    this->MakeOrders();
  }
  this->SendDue();
  this->ReadDue();
}

void GroupController::UpdateTable() {
  std::vector<ListedEngine> listed;
  for (const ListedEngine& engine : this->context.source.Engines()) {
    if (GroupOfEngine(engine.name, this->settings.groups) == this->group) {
      listed.push_back(engine);
    }
  }
  this->table.Update(listed);
}

void GroupController::MakeOrders() {
  const std::vector<NeededModel> needed = this->context.source.Needed();
  const std::vector<PlacedEngine> engines =
      this->table.View(this->context.ownership);
  PlannerInput input;
  input.needed = needed;
  input.engines = engines;
  input.loads = this->budget.Available();
  input.urgent_loads = this->budget.UrgentAvailable();
  input.may_unload = this->context.source.NeededIsFresh();
  const Plan plan = MakePlan(this->settings.planner, input);
  for (const EngineChange& change : plan.changes) {
    this->budget.Take(change.load.has_value() ? 1 : 0);
    this->table.Order(change);
  }
  // Plans are made each second: a shortage is told once.
  if (plan.shortages != this->shortages) {
    for (const Shortage& shortage : plan.shortages) {
      LogShortage(this->lease.Duty(), this->lease.Fence(), shortage);
    }
  }
  this->shortages = plan.shortages;
}

void GroupController::SendDue() {
  for (const EngineOrder& order : this->table.TakeDue()) {
    this->orderer.Send(
        order, this->life.Guarded([this, order](const OrderResult& result) {
          this->OnResult(order, result);
        }));
  }
}

void GroupController::OnResult(const EngineOrder& order,
                               const OrderResult& result) {
  this->table.OnResult(order, result);
  if (result.outcome == OrderOutcome::kThrottled) {
    this->OnRefused(result.retry_after_ms);
  }
}

// The pause differs from group to group, so that they do not all come back to
// the weight store together.
void GroupController::OnRefused(std::int64_t retry_after_ms) {
  const std::int64_t pause_ms =
      retry_after_ms >= 0 ? retry_after_ms : this->settings.refused_pause_ms;
  const std::string name =
      absl::StrCat(this->lease.Duty(), "\n", this->context.clock.MonotonicMs());
  const double spread = 1 + SpreadOf(name);
  this->budget.OnRefused(
      static_cast<std::int64_t>(static_cast<double>(pause_ms) * spread));
}

void GroupController::ReadDue() {
  for (const EngineOrder& order : this->table.TakeReadsDue()) {
    this->engine_client.ReadLoad(
        {order.engine, order.base_url},
        this->life.Guarded(
            [this, order](const absl::StatusOr<LoadReport>& report) {
              if (report.ok()) {
                this->table.TakeReport(order.engine, *report);
              }
            }));
  }
}

}  // namespace meadowthread
