#include "placement/group_controller.h"

#include "absl/strings/str_cat.h"
#include "base/log_line.h"
#include "placement/group_assignment.h"

namespace meadowthread {
namespace {

// Divides the load rate evenly among the groups. A group cannot use what
// another group leaves unused, but the lease holders need not coordinate.
LoadBudgetSettings GroupLoadBudget(
    const PlacementControllerSettings& settings) {
  LoadBudgetSettings share = settings.budget;
  share.loads_per_second /= settings.groups;
  return share;
}

void LogShortage(const std::string& lease, std::int64_t fence,
                 const Shortage& shortage) {
  LogLine line("placement");
  line.Add("duty", lease).Add("fence", fence);
  line.Add("model", shortage.key.model).Add("adapter", shortage.key.adapter);
  line.Add("version", shortage.key.version).Add("copies", shortage.copies);
  line.Add("why", "shortage");
  line.Write();
}

}  // namespace

GroupController::GroupController(std::string_view deployment, int group,
                                 const PlacementControllerSettings& settings,
                                 const PlacementContext& context)
    : group(group),
      settings(settings),
      context(context),
      lease(PlacementLeaseName(deployment, settings.groups, group),
            settings.lease, context.store, context.clock, context.nonces),
      order_sender(context.http, this->lease, context.ownership, context.clock),
      engine_client(context.http, EngineTimeouts{}),
      table(settings.engines, context.clock),
      budget(GroupLoadBudget(settings), context.clock) {}

void GroupController::Tick() {
  this->lease.Tick();
  if (this->lease.Held()) {
    this->Reconcile();
  } else if (this->held_since_ms.has_value()) {
    this->held_since_ms.reset();
    this->table.DropOrders();
  }
}

void GroupController::UpdateTakeoverDelay() {
  this->lease.SetTakeoverDelay(
      TakeoverDelayMs(this->settings.lease.holder, this->lease.Name(),
                      this->context.source.LiveHosts()));
}

void GroupController::Reconcile() {
  const std::int64_t now_ms = this->context.clock.MonotonicMs();
  if (!this->held_since_ms.has_value()) {
    this->held_since_ms = now_ms;
  }
  this->UpdateTable();
  const OrderProgress progress = this->table.FinishOrders();
  for (int load = 0; load < progress.completed; ++load) {
    this->budget.OnLoaded();
  }
  if (progress.timed_out > 0) {
    this->BackOffLoads(-1);
  }
  const bool may_plan =
      now_ms - *this->held_since_ms >= this->settings.first_plan_delay_ms;
  if (may_plan &&
      now_ms - this->planned_ms >= this->settings.plan_interval_ms) {
    this->planned_ms = now_ms;
    this->PlanOrders();
  }
  this->SendDueOrders();
  this->ReadDueLoads();
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

void GroupController::PlanOrders() {
  const std::vector<ModelDemand> needed = this->context.source.NeededModels();
  const std::vector<PlacedEngine> engines =
      this->table.PlannerView(this->context.ownership);
  PlannerInput input;
  input.needed = needed;
  input.engines = engines;
  input.load_budget = this->budget.Available();
  input.urgent_load_budget = this->budget.UrgentAvailable();
  input.may_unload = this->context.source.NeededModelsAreFresh();
  const Plan plan = MakePlan(this->settings.planner, input);
  for (const EngineChange& change : plan.changes) {
    this->budget.Take(change.load.has_value() ? 1 : 0);
    this->table.Order(change);
  }
  // Logs shortages only when they change, as a plan is made every second.
  if (plan.shortages != this->shortages) {
    for (const Shortage& shortage : plan.shortages) {
      LogShortage(this->lease.Name(), this->lease.Fence(), shortage);
    }
  }
  this->shortages = plan.shortages;
}

void GroupController::SendDueOrders() {
  for (const EngineOrder& order : this->table.TakeDueOrders()) {
    this->order_sender.Send(
        order, this->life.Guarded([this, order](const OrderResult& result) {
          this->OnResult(order, result);
        }));
  }
}

void GroupController::OnResult(const EngineOrder& order,
                               const OrderResult& result) {
  this->table.OnResult(order, result);
  if (result.outcome == OrderOutcome::kThrottled) {
    this->BackOffLoads(result.retry_after_ms);
  }
}

// The pause is jittered, so that the groups do not all resume loads from the
// weight store at once.
void GroupController::BackOffLoads(std::int64_t retry_after_ms) {
  const std::int64_t pause_ms =
      retry_after_ms >= 0 ? retry_after_ms : this->settings.load_backoff_ms;
  const std::string name =
      absl::StrCat(this->lease.Name(), "\n", this->context.clock.MonotonicMs());
  const double jitter_factor = 1 + HashFraction(name);
  this->budget.OnRefused(
      static_cast<std::int64_t>(static_cast<double>(pause_ms) * jitter_factor));
}

void GroupController::ReadDueLoads() {
  for (const EngineOrder& order : this->table.TakeDueReads()) {
    this->engine_client.ReadLoad(
        {order.engine, order.base_url},
        this->life.Guarded(
            [this, order](const absl::StatusOr<LoadReport>& report) {
              if (report.ok()) {
                this->table.ApplyReport(order.engine, *report);
              }
            }));
  }
}

}  // namespace meadowthread
