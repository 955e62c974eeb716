#include "allocation/allocation_participant.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// Period of the updates of hosts, engines, groups and pressures.
constexpr std::int64_t kTickMs = 250;
// A tick that is late by more than this means that the process was stalled. It
// missed requests that other hosts began and ended meanwhile, and what it has
// received since is out of order.
constexpr std::int64_t kStallMs = 500;
// Time in which the other hosts, once asked, report all of their loads: one
// datagram in each direction and one period of their report timer.
constexpr std::int64_t kLoadReportWaitMs = 200;
// A group's pressure is sent to at most this many groups per tick, drawn at
// random, so that the cost does not grow with the number of groups.
constexpr std::size_t kMaxPressureGroups = 8;
// Other hosts consider a host gone after a minute of silence, and assign groups
// only to hosts heard from in the last ten seconds.
constexpr std::int64_t kHeartbeatPeriodMs = 8'000;

}  // namespace

AllocationParticipant::AllocationParticipant(
    const AllocationOptions& options,
    const AllocationDependencies& dependencies)
    : options(options),
      dependencies(dependencies),
      channel(options.self.host, dependencies.hub, *this),
      allocator(options.self.host, options.pressure, dependencies.fleet,
                this->groups),
      client(options.self, this->groups, dependencies.fleet, dependencies.local,
             this->channel, dependencies.scheduler, dependencies.clock) {
  this->allocator.SetArrivals(dependencies.arrivals, dependencies.clock);
  this->client.SetArrivals(dependencies.arrivals);
  this->client.SetPermits(dependencies.permits);
}

void AllocationParticipant::Start(
    const std::function<std::vector<AllocatorHost>()>& hosts) {
  this->current_hosts = hosts;
  this->last_tick_ms = this->dependencies.clock.MonotonicMs();
  this->Tick();
}

void AllocationParticipant::Tick() {
  const std::int64_t now_ms = this->dependencies.clock.MonotonicMs();
  const bool was_stalled = this->WasStalled();
  this->last_tick_ms = now_ms;
  this->UpdateHosts();
  this->LogSpeedChange();
  if (this->client.IsShared()) {
    this->UpdateOwnGroups(was_stalled);
    this->allocator.DropExpired(this->dependencies.clock.WallMs());
    this->GrantLinks();
    this->SendPressures();
    if (now_ms - this->last_heartbeat_ms >= kHeartbeatPeriodMs) {
      this->last_heartbeat_ms = now_ms;
      this->channel.SendHeartbeats();
    }
  }
  this->dependencies.scheduler.After(
      kTickMs, this->life.Guarded([this] { this->Tick(); }));
}

bool AllocationParticipant::WasStalled() const {
  return this->dependencies.clock.MonotonicMs() - this->last_tick_ms >
         kTickMs + kStallMs;
}

void AllocationParticipant::UpdateHosts() {
  const std::vector<AllocatorHost> hosts = this->current_hosts();
  this->groups.CountEngines(this->dependencies.fleet);
  this->groups.SetHosts(hosts);
  // A stopping host is not in the list itself, but still asks the allocators.
  const bool is_shared = hosts.size() > this->options.direct_hosts;
  if (is_shared != this->client.IsShared()) {
    LogLine("allocation-shared")
        .Add("hosts", hosts.size())
        .Add("shared", is_shared ? "yes" : "no")
        .WriteImportant();
    this->client.SetUsesAllocators(is_shared);
  }
}

void AllocationParticipant::LogSpeedChange() {
  const bool are_uneven = this->dependencies.fleet.Speeds().AreUneven();
  if (are_uneven != this->were_speeds_uneven) {
    LogLine("engine-speeds")
        .Add("uneven", are_uneven ? "yes" : "no")
        .WriteImportant();
    this->were_speeds_uneven = are_uneven;
  }
}

// When a new group is assigned to this host, it knows no loads of that group,
// and after a stall the loads that it knows are outdated. In both cases it asks
// all hosts for reports.
void AllocationParticipant::UpdateOwnGroups(bool was_stalled) {
  std::set<std::string> assigned;
  for (const std::string& group : this->groups.Groups()) {
    if (this->groups.IsAllocator(this->options.self.host, group)) {
      assigned.insert(group);
    }
  }
  const bool has_new =
      !std::includes(this->own_groups.begin(), this->own_groups.end(),
                     assigned.begin(), assigned.end());
  this->own_groups = std::move(assigned);
  if (this->own_groups.empty() || (!has_new && !was_stalled)) {
    return;
  }
  this->allocator.SetReadyFrom(this->dependencies.clock.WallMs() +
                               kLoadReportWaitMs);
  this->channel.RequestLoadReports();
  LogLine("allocates")
      .Add("groups", this->own_groups.size())
      .Add("first", *this->own_groups.begin())
      .Add("stood_still", was_stalled ? "yes" : "no")
      .WriteImportant();
}

void AllocationParticipant::SendPressures() {
  const std::int64_t now_ms = this->dependencies.clock.WallMs();
  if (this->own_groups.empty() || !this->allocator.IsReady(now_ms)) {
    return;
  }
  for (const std::string& own : this->own_groups) {
    if (this->groups.AllocatorsOf(own).front() != this->options.self.host) {
      continue;
    }
    const std::optional<GroupPressure> pressure =
        this->allocator.MinPressure(own, now_ms);
    if (!pressure.has_value()) {
      continue;
    }
    for (const std::string& group : this->DrawPressureReceivers(own)) {
      for (const std::string& host : this->groups.AllocatorsOf(group)) {
        this->channel.Send(host, *pressure);
      }
    }
  }
}

// Only groups of the same service can send their requests there.
std::vector<std::string> AllocationParticipant::DrawPressureReceivers(
    std::string_view own) {
  std::vector<std::string> others = this->groups.Groups();
  std::erase_if(others, [own](std::string_view group) {
    return group == own ||
           EngineGroups::ServiceOf(group) != EngineGroups::ServiceOf(own);
  });
  std::vector<std::string> receivers;
  std::sample(others.begin(), others.end(), std::back_inserter(receivers),
              kMaxPressureGroups, this->dependencies.random);
  return receivers;
}

void AllocationParticipant::GrantLinks() {
  for (const LinkGrant& grant : this->allocator.GrantLinks(
           this->dependencies.clock.WallMs(), this->dependencies.random())) {
    this->channel.Send(grant.migration.host, grant.response);
  }
}

template <typename Message>
void AllocationParticipant::SendToAllocators(const Message& message) {
  if (this->IsEverybody()) {
    return;
  }
  for (const std::string& host : this->HostsFor(message.engine)) {
    this->channel.Send(host, message);
  }
}

void AllocationParticipant::ReportAttempt(const EngineAttempt& attempt) {
  this->SendToAllocators(attempt);
}

void AllocationParticipant::ReportPrefill(const PrefillObservation& seen) {
  this->SendToAllocators(seen);
}

void AllocationParticipant::ReportSpeed(const SpeedObservation& seen) {
  this->SendToAllocators(seen);
}

std::vector<std::string> AllocationParticipant::HostsFor(
    std::string_view engine) const {
  const EngineView* const view = this->dependencies.fleet.Find(engine);
  if (view == nullptr) {
    return {};
  }
  std::vector<std::string> hosts =
      this->groups.AllocatorsOf(this->groups.GroupOf(*view));
  std::erase(hosts, this->options.self.host);
  return hosts;
}

void AllocationParticipant::OnMessage(std::string_view host,
                                      const PlacementRequest& request) {
  const std::int64_t now_ms = this->dependencies.clock.WallMs();
  // After a stall, datagrams that have piled up are handled before the overdue
  // tick, which would detect the stall.
  if (this->WasStalled()) {
    this->allocator.SetReadyFrom(now_ms + kLoadReportWaitMs);
  }
  AllocatorResult result =
      this->allocator.Allocate(request, now_ms, this->dependencies.random());
  const std::vector<std::string>* const forward_allocators =
      result.forward_to.empty() ? nullptr
                                : &this->groups.AllocatorsOf(result.forward_to);
  LogLine("allocate")
      .Add("request", request.work.request)
      .Add("host", host)
      .Add("group", request.group)
      .Add("passed_on", result.forward_to)
      .Add("source", request.source)
      .Add("verdict", static_cast<int>(result.response.status))
      .Add("engine", result.response.engine)
      .Add("cost", result.response.cost)
      .Add("first_event_ms", result.response.first_event_ms)
      .Add("relative_time",
           this->dependencies.fleet.RelativeTimeOf(result.response.engine))
      .Write();
  if (forward_allocators == nullptr || forward_allocators->empty()) {
    this->channel.Send(request.origin, result.response);
    return;
  }
  PlacementRequest forwarded = request;
  forwarded.group = result.forward_to;
  forwarded.is_forwarded = true;
  this->channel.Send(forward_allocators->front(), forwarded);
}

void AllocationParticipant::OnMessage(std::string_view /*host*/,
                                      const PlacementResponse& response) {
  this->client.OnResponse(response);
}

void AllocationParticipant::OnMessage(std::string_view host,
                                      const LinkRelease& release) {
  this->allocator.ReleaseLink(host, release);
  this->GrantLinks();
}

void AllocationParticipant::OnMessage(std::string_view /*host*/,
                                      const GroupPressure& pressure) {
  this->allocator.UpdatePressure(pressure, this->dependencies.clock.WallMs());
}

void AllocationParticipant::OnMessage(std::string_view /*host*/,
                                      const EngineAttempt& attempt) {
  if (this->on_attempt) {
    this->on_attempt(attempt);
  }
}

void AllocationParticipant::OnMessage(std::string_view /*host*/,
                                      const PrefillObservation& seen) {
  this->dependencies.fleet.ObservePrefill(seen);
}

void AllocationParticipant::OnMessage(std::string_view /*host*/,
                                      const SpeedObservation& seen) {
  this->dependencies.fleet.ObserveSpeed(seen);
}

void AllocationParticipant::OnLoadReportsRequested() {
  if (this->report_all_loads) {
    this->report_all_loads();
  }
}

void AllocationParticipant::OnNotes(std::string_view host,
                                    std::span<const EngineLoadNote> notes) {
  this->dependencies.loads.OnNotes(host, notes);
  this->allocator.ConfirmReservations(host, notes,
                                      this->dependencies.clock.WallMs());
}

}  // namespace meadowthread
