#include "placement/controller.h"

#include <algorithm>

namespace meadowthread {

PlacementController::PlacementController(
    std::string_view deployment, const PlacementControllerSettings& settings,
    const PlacementContext& context, Scheduler& scheduler)
    : settings(settings), context(context), scheduler(scheduler) {
  for (int group = 0; group < settings.groups; ++group) {
    this->groups.push_back(std::make_unique<GroupController>(
        deployment, group, settings, context));
  }
}

void PlacementController::Start() {
  this->running = true;
  this->Schedule();
}

void PlacementController::Schedule() {
  this->scheduler.After(this->settings.tick_ms, this->life.Guarded([this] {
    if (this->running) {
      this->Tick();
      this->Schedule();
    }
  }));
}

void PlacementController::Stop() {
  this->running = false;
  for (const auto& group : this->groups) {
    group->GroupLease().Release();
  }
}

void PlacementController::Tick() {
  const std::int64_t now_ms = this->context.clock.MonotonicMs();
  const bool due = now_ms >= this->next_list_ms && !this->listing;
  if (due && !this->HoldsAll()) {
    this->next_list_ms = now_ms + this->settings.list_interval_ms;
    this->ListLeases();
  }
  for (const auto& group : this->groups) {
    group->Tick();
  }
}

bool PlacementController::HoldsAll() {
  return std::all_of(
      this->groups.begin(), this->groups.end(),
      [](const auto& group) { return group->GroupLease().Held(); });
}

void PlacementController::ListLeases() {
  this->listing = true;
  this->context.store.List(
      kLeaseKind, this->revision,
      this->life.Guarded([this](const absl::StatusOr<ObjectList>& list) {
        this->listing = false;
        this->OnLeases(list);
      }));
}

void PlacementController::OnLeases(const absl::StatusOr<ObjectList>& list) {
  if (!list.ok()) {
    return;
  }
  const bool is_full_list = this->revision == 0;
  for (const auto& group : this->groups) {
    group->UpdateTakeoverDelay();
    Lease& lease = group->GroupLease();
    const auto found = std::find_if(list->items.begin(), list->items.end(),
                                    [&lease](const StoredObject& object) {
                                      return object.name == lease.Name();
                                    });
    if (found != list->items.end()) {
      lease.Observe(*found);
    } else if (is_full_list) {
      lease.ObserveAbsent();
    }
  }
  this->revision = std::max(this->revision, list->revision);
}

std::vector<HeldLease> PlacementController::Held() {
  std::vector<HeldLease> held;
  for (const auto& group : this->groups) {
    const Lease& lease = group->GroupLease();
    if (lease.Held()) {
      held.push_back({lease.Name(), lease.Fence(), lease.RemainingMs()});
    }
  }
  return held;
}

}  // namespace meadowthread
