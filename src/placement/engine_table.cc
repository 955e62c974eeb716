#include "placement/engine_table.h"

#include <algorithm>

#include "placement/duty.h"

namespace meadowthread {
namespace {

constexpr int kMostRefusals = 3;

DesiredState StateIn(const LoadReport& report) {
  return {report.role, report.models};
}

bool Has(const std::vector<ServedModel>& models, const ServedModel& model) {
  return std::find(models.begin(), models.end(), model) != models.end();
}

bool SameState(const DesiredState& one, const DesiredState& other) {
  const bool same_size = one.models.size() == other.models.size();
  return one.role == other.role && same_size &&
         std::all_of(one.models.begin(), one.models.end(),
                     [&other](const ServedModel& model) {
                       return Has(other.models, model);
                     });
}

double LoadOf(const LoadReport& report) {
  return report.kv_capacity > 0 ? static_cast<double>(report.kv_used) /
                                      static_cast<double>(report.kv_capacity)
                                : 0;
}

}  // namespace

// 1. What is heard of engines.

void EngineTable::Update(std::span<const ListedEngine> listed) {
  for (auto& [name, record] : this->records) {
    record.is_listed = false;
  }
  for (const ListedEngine& engine : listed) {
    const auto [found, is_new] = this->records.try_emplace(engine.name);
    Record& record = found->second;
    if (is_new) {
      record.heard_ms = this->clock.MonotonicMs();
    }
    record.listed = engine;
    record.listed.report.reset();
    record.is_listed = true;
    if (engine.report.has_value()) {
      this->TakeReport(engine.name, *engine.report);
    }
  }
  std::erase_if(this->records, [this](const auto& entry) {
    return !entry.second.is_listed &&
           this->StateOf(entry.first, entry.second) == EngineState::kGone;
  });
}

void EngineTable::TakeReport(std::string_view engine,
                             const LoadReport& report) {
  const auto found = this->records.find(engine);
  if (found == this->records.end()) {
    return;
  }
  Record& record = found->second;
  // The engine's clock is compared with itself only, within one start; that we
  // heard of it is dated by our own. A start that was followed by another one
  // never comes back; one that is not told is compared with nothing.
  const bool other_start = record.report.has_value() &&
                           !report.incarnation.empty() &&
                           !record.report->incarnation.empty() &&
                           report.incarnation != record.report->incarnation;
  if (other_start && report.incarnation == record.incarnation_before) {
    return;
  }
  const bool newer = !record.report.has_value() || other_start ||
                     report.as_of_unix_ms > record.report->as_of_unix_ms;
  if (other_start) {
    // The fence that it refused by went with the start that kept it.
    record.incarnation_before = record.report->incarnation;
    record.refusals = 0;
  }
  if (newer) {
    record.report = report;
    record.heard_ms = this->clock.MonotonicMs();
  }
}

EngineState EngineTable::StateOf(const std::string& name,
                                 const Record& record) const {
  const std::int64_t quiet_ms = this->clock.MonotonicMs() - record.heard_ms;
  const std::int64_t spread_ms = static_cast<std::int64_t>(
      SpreadOf(name) * static_cast<double>(this->settings.gone_spread_ms));
  if (quiet_ms >= this->settings.gone_after_ms + spread_ms) {
    return EngineState::kGone;
  }
  const bool reports_leaving =
      record.report.has_value() && record.report->leaving;
  if (record.listed.leaving || reports_leaving) {
    return EngineState::kLeaving;
  }
  const bool quiet = quiet_ms >= this->settings.silent_after_ms;
  return quiet || !record.report.has_value() ? EngineState::kSilent
                                             : EngineState::kLive;
}

// Holds nobody up: one engine with a fence that no holder can reach would
// otherwise have the whole group's holder step down again and again.
bool EngineTable::IsRefusing(const Record& record) const {
  const std::int64_t since_ms = this->clock.MonotonicMs() - record.refused_ms;
  return record.refusals >= kMostRefusals &&
         since_ms < this->settings.refusing_ms;
}

std::vector<PlacedEngine> EngineTable::View(
    const OwnershipView& ownership) const {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<PlacedEngine> engines;
  engines.reserve(this->records.size());
  for (const auto& [name, record] : this->records) {
    PlacedEngine& engine = engines.emplace_back();
    engine.name = name;
    engine.zone = record.listed.zone;
    engine.state = this->StateOf(name, record);
    const OwnershipAnswer owned = ownership.Look({OwnedKind::kEngine, name});
    engine.owned =
        owned.verdict == OwnershipVerdict::kOurs && !this->IsRefusing(record);
    engine.settled = !record.changed_ms.has_value() ||
                     now_ms - *record.changed_ms >= this->settings.settle_ms;
    engine.capacity = record.listed.capacity;
    if (record.report.has_value()) {
      engine.load = LoadOf(*record.report);
      engine.reported = StateIn(*record.report);
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
  record.pending = Pending{};
  Pending& pending = *record.pending;
  pending.order.engine = change.engine;
  pending.order.base_url = record.listed.base_url;
  pending.order.desired = change.desired;
  pending.order.why = std::string(ChangeReasonName(change.reason));
  pending.ordered_ms = this->clock.MonotonicMs();
}

std::vector<EngineOrder> EngineTable::TakeDue() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<EngineOrder> due;
  for (auto& [name, record] : this->records) {
    std::optional<Pending>& pending = record.pending;
    const bool is_due = pending.has_value() && !pending->in_flight &&
                        now_ms >= pending->next_send_ms;
    if (is_due) {
      pending->in_flight = true;
      pending->next_read_ms = now_ms + this->settings.read_back_ms;
      due.push_back(pending->order);
    }
  }
  return due;
}

std::vector<EngineOrder> EngineTable::TakeReadsDue() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<EngineOrder> due;
  for (auto& [name, record] : this->records) {
    std::optional<Pending>& pending = record.pending;
    if (pending.has_value() && now_ms >= pending->next_read_ms) {
      pending->next_read_ms = now_ms + this->settings.read_back_ms;
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
    record.refused_ms = this->clock.MonotonicMs();
  } else if (applied) {
    record.refusals = 0;
  }
  if (!record.pending.has_value() ||
      !(record.pending->order.desired == order.desired)) {
    return;  // an answer to an order of an earlier tenure
  }
  Pending& pending = *record.pending;
  pending.in_flight = false;
  pending.applied = pending.applied || applied;
  // Whatever became of it: the order names a whole state, and goes out again
  // until the engine reports that state.
  const std::int64_t wait_ms =
      std::max(this->settings.resend_ms, result.retry_after_ms);
  pending.next_send_ms = this->clock.MonotonicMs() + wait_ms;
}

bool EngineTable::IsCarriedOut(const Record& record) const {
  return record.report.has_value() &&
         SameState(StateIn(*record.report), record.pending->order.desired);
}

OrderProgress EngineTable::Settle() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  OrderProgress progress;
  for (auto& [name, record] : this->records) {
    if (!record.pending.has_value()) {
      continue;
    }
    const std::int64_t age_ms = now_ms - record.pending->ordered_ms;
    const bool late = age_ms >= this->settings.load_timeout_ms;
    const bool gone = this->StateOf(name, record) == EngineState::kGone;
    const bool done = this->IsCarriedOut(record);
    if (!done && !late && !gone) {
      continue;
    }
    progress.carried_out += done ? 1 : 0;
    progress.given_up += !done && late && record.pending->applied ? 1 : 0;
    record.changed_ms = now_ms;
    record.pending.reset();
  }
  return progress;
}

void EngineTable::ForgetOrders() {
  for (auto& [name, record] : this->records) {
    record.pending.reset();
  }
}

}  // namespace meadowthread
