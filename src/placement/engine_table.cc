#include "placement/engine_table.h"

#include <algorithm>

#include "placement/group_assignment.h"

namespace meadowthread {
namespace {

constexpr int kMaxRefusals = 3;

DesiredState ReportedState(const LoadReport& report) {
  return {report.role, report.models};
}

bool Contains(const std::vector<ServedModel>& models,
              const ServedModel& model) {
  return std::find(models.begin(), models.end(), model) != models.end();
}

bool SameState(const DesiredState& one, const DesiredState& other) {
  const bool same_size = one.models.size() == other.models.size();
  return one.role == other.role && same_size &&
         std::all_of(one.models.begin(), one.models.end(),
                     [&other](const ServedModel& model) {
                       return Contains(other.models, model);
                     });
}

double KvUtilization(const LoadReport& report) {
  return report.kv_capacity > 0 ? static_cast<double>(report.kv_used) /
                                      static_cast<double>(report.kv_capacity)
                                : 0;
}

}  // namespace

// 1. Engines.

void EngineTable::Update(std::span<const ListedEngine> listed) {
  for (auto& [name, record] : this->records) {
    record.is_listed = false;
  }
  for (const ListedEngine& engine : listed) {
    const auto [found, is_new] = this->records.try_emplace(engine.name);
    Record& record = found->second;
    if (is_new) {
      record.last_report_ms = this->clock.MonotonicMs();
    }
    record.listed = engine;
    record.listed.report.reset();
    record.is_listed = true;
    if (engine.report.has_value()) {
      this->ApplyReport(engine.name, *engine.report);
    }
  }
  std::erase_if(this->records, [this](const auto& entry) {
    return !entry.second.is_listed &&
           this->LivenessOf(entry.first, entry.second) == EngineLiveness::kGone;
  });
}

void EngineTable::ApplyReport(std::string_view engine,
                              const LoadReport& report) {
  const auto found = this->records.find(engine);
  if (found == this->records.end()) {
    return;
  }
  Record& record = found->second;
  // Report timestamps come from the engine's clock, so they are compared only
  // within one incarnation; the age of a report is measured on this host's
  // clock. A late report of the previous incarnation is ignored. Where either
  // report lacks an incarnation, both are taken to be of the same one.
  const bool restarted = record.report.has_value() &&
                         !report.incarnation.empty() &&
                         !record.report->incarnation.empty() &&
                         report.incarnation != record.report->incarnation;
  if (restarted && report.incarnation == record.previous_incarnation) {
    return;
  }
  const bool newer = !record.report.has_value() || restarted ||
                     report.as_of_unix_ms > record.report->as_of_unix_ms;
  if (restarted) {
    // A restart clears the fencing token by which the engine refused orders.
    record.previous_incarnation = record.report->incarnation;
    record.refusals = 0;
  }
  if (newer) {
    record.report = report;
    record.last_report_ms = this->clock.MonotonicMs();
  }
}

EngineLiveness EngineTable::LivenessOf(const std::string& name,
                                       const Record& record) const {
  const std::int64_t silent_ms =
      this->clock.MonotonicMs() - record.last_report_ms;
  const std::int64_t jitter_ms = static_cast<std::int64_t>(
      HashFraction(name) * static_cast<double>(this->settings.gone_jitter_ms));
  if (silent_ms >= this->settings.gone_after_ms + jitter_ms) {
    return EngineLiveness::kGone;
  }
  const bool reports_leaving =
      record.report.has_value() && record.report->leaving;
  if (record.listed.leaving || reports_leaving) {
    return EngineLiveness::kLeaving;
  }
  const bool silent = silent_ms >= this->settings.silent_after_ms;
  return silent || !record.report.has_value() ? EngineLiveness::kSilent
                                              : EngineLiveness::kLive;
}

// An engine that keeps refusing orders as stale is sent no orders for
// `refusal_backoff_ms`. It may have recorded a fencing token so high that no
// holder will reach it. Each refusal can make the holder step down, so this one
// engine would block the whole group.
bool EngineTable::IsRefusing(const Record& record) const {
  const std::int64_t since_ms =
      this->clock.MonotonicMs() - record.last_refusal_ms;
  return record.refusals >= kMaxRefusals &&
         since_ms < this->settings.refusal_backoff_ms;
}

std::vector<PlacedEngine> EngineTable::PlannerView(
    const OwnershipView& ownership) const {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<PlacedEngine> engines;
  engines.reserve(this->records.size());
  for (const auto& [name, record] : this->records) {
    PlacedEngine& engine = engines.emplace_back();
    engine.name = name;
    engine.zone = record.listed.zone;
    engine.state = this->LivenessOf(name, record);
    const OwnershipLookup owned = ownership.Lookup({OwnedKind::kEngine, name});
    engine.owned =
        owned.verdict == OwnershipVerdict::kOurs && !this->IsRefusing(record);
    engine.cooled_down =
        !record.last_change_ms.has_value() ||
        now_ms - *record.last_change_ms >= this->settings.change_cooldown_ms;
    engine.capacity = record.listed.capacity;
    if (record.report.has_value()) {
      engine.utilization = KvUtilization(*record.report);
      engine.reported = ReportedState(*record.report);
    }
    if (record.pending.has_value()) {
      engine.ordered = record.pending->order.desired;
    }
  }
  return engines;
}

// 2. Orders.

void EngineTable::Order(const EngineChange& change) {
  const auto found = this->records.find(change.engine);
  if (found == this->records.end()) {
    return;
  }
  Record& record = found->second;
  record.pending = PendingOrder{};
  PendingOrder& pending = *record.pending;
  pending.order.engine = change.engine;
  pending.order.base_url = record.listed.base_url;
  pending.order.desired = change.desired;
  pending.order.reason = std::string(ChangeReasonName(change.reason));
  pending.ordered_ms = this->clock.MonotonicMs();
}

std::vector<EngineOrder> EngineTable::TakeDueOrders() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<EngineOrder> due;
  for (auto& [name, record] : this->records) {
    std::optional<PendingOrder>& pending = record.pending;
    const bool is_due = pending.has_value() && !pending->in_flight &&
                        now_ms >= pending->next_send_ms;
    if (is_due) {
      pending->in_flight = true;
      pending->next_read_ms = now_ms + this->settings.read_interval_ms;
      due.push_back(pending->order);
    }
  }
  return due;
}

std::vector<EngineOrder> EngineTable::TakeDueReads() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<EngineOrder> due;
  for (auto& [name, record] : this->records) {
    std::optional<PendingOrder>& pending = record.pending;
    if (pending.has_value() && now_ms >= pending->next_read_ms) {
      pending->next_read_ms = now_ms + this->settings.read_interval_ms;
      due.push_back(pending->order);
    }
  }
  return due;
}

void EngineTable::OnResult(const EngineOrder& order,
                           const OrderResult& result) {
  const auto found = this->records.find(order.engine);
  if (found == this->records.end()) {
    return;
  }
  Record& record = found->second;
  const bool stale = result.outcome == OrderOutcome::kStaleFence;
  const bool applied = result.outcome == OrderOutcome::kApplied;
  if (stale) {
    ++record.refusals;
    record.last_refusal_ms = this->clock.MonotonicMs();
  } else if (applied) {
    record.refusals = 0;
  }
  if (!record.pending.has_value() ||
      !(record.pending->order.desired == order.desired)) {
    return;  // answers an order that is no longer pending
  }
  PendingOrder& pending = *record.pending;
  pending.in_flight = false;
  pending.applied = pending.applied || applied;
  // The order is resent whatever the outcome, until the engine reports the
  // desired state. Resending is safe because an order names the complete state.
  const std::int64_t wait_ms =
      std::max(this->settings.resend_interval_ms, result.retry_after_ms);
  pending.next_send_ms = this->clock.MonotonicMs() + wait_ms;
}

bool EngineTable::IsCompleted(const Record& record) const {
  return record.report.has_value() && SameState(ReportedState(*record.report),
                                                record.pending->order.desired);
}

OrderProgress EngineTable::FinishOrders() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  OrderProgress progress;
  for (auto& [name, record] : this->records) {
    if (!record.pending.has_value()) {
      continue;
    }
    const std::int64_t age_ms = now_ms - record.pending->ordered_ms;
    const bool expired = age_ms >= this->settings.load_timeout_ms;
    const bool gone = this->LivenessOf(name, record) == EngineLiveness::kGone;
    const bool done = this->IsCompleted(record);
    if (!done && !expired && !gone) {
      continue;
    }
    progress.completed += done ? 1 : 0;
    progress.timed_out += !done && expired && record.pending->applied ? 1 : 0;
    record.last_change_ms = now_ms;
    record.pending.reset();
  }
  return progress;
}

void EngineTable::DropOrders() {
  for (auto& [name, record] : this->records) {
    record.pending.reset();
  }
}

}  // namespace meadowthread
