#include "allocation/allocation_duty.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// How often lists of hosts and engines, pressures and turns are looked at.
constexpr std::int64_t kTickMs = 250;
// A host that stood still for so long beyond its tick has missed what others
// began and ended meanwhile: what it has read since is out of order.
constexpr std::int64_t kStoodStillMs = 500;
// Within this the others have told all of their work: a datagram each way, and
// a step of their notes' timer.
constexpr std::int64_t kCollectMs = 200;
// Groups that are told of the pressure at one: of a few, all; of hundreds, some
// each time, so that what it costs does not grow with them.
constexpr std::size_t kMostTold = 8;
// Hosts are taken for gone after a minute of silence, and have duties while
// they were heard within ten seconds.
constexpr std::int64_t kLetHearMs = 8'000;

}  // namespace

AllocationDuty::AllocationDuty(const AllocationOptions& options,
                               const AllocationParts& parts)
    : options(options),
      parts(parts),
      channel(options.self.host, parts.hub, *this),
      allocator(options.self.host, options.pressure, parts.fleet, this->groups),
      asking(options.self, this->groups, parts.fleet, parts.local,
             this->channel, parts.scheduler, parts.clock) {
  this->allocator.SetArrivals(parts.arrivals, parts.clock);
  this->asking.SetArrivals(parts.arrivals);
}

void AllocationDuty::Start(
    const std::function<std::vector<AllocatorHost>()>& hosts) {
  this->hosts_now = hosts;
  this->ticked_ms = this->parts.clock.MonotonicMs();
  this->Tick();
}

void AllocationDuty::Tick() {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const bool stood_still = this->HasStoodStill();
  this->ticked_ms = now_ms;
  this->TakeHosts();
  if (this->asking.IsShared()) {
    this->TakeDuties(stood_still);
    this->allocator.DropOld(this->parts.clock.WallMs());
    this->GrantTurns();
    this->TellPressures();
    if (now_ms - this->heard_by_all_ms >= kLetHearMs) {
      this->heard_by_all_ms = now_ms;
      this->channel.LetAllHear();
    }
  }
  this->parts.scheduler.After(kTickMs,
                              this->life.Guarded([this] { this->Tick(); }));
}

bool AllocationDuty::HasStoodStill() const {
  return this->parts.clock.MonotonicMs() - this->ticked_ms >
         kTickMs + kStoodStillMs;
}

void AllocationDuty::TakeHosts() {
  const std::vector<AllocatorHost> hosts = this->hosts_now();
  this->groups.CountEngines(this->parts.fleet);
  this->groups.SetHosts(hosts);
  // A host that is stopping is not among them and asks like the others.
  const bool is_shared = hosts.size() > this->options.direct_hosts;
  if (is_shared != this->asking.IsShared()) {
    LogLine("allocation-shared")
        .Add("hosts", hosts.size())
        .Add("shared", is_shared ? "yes" : "no")
        .WriteImportant();
    this->asking.SetShared(is_shared);
  }
}

// A host that has just got a group knows nothing of it, and one that stood
// still knows what was.
void AllocationDuty::TakeDuties(bool stood_still) {
  std::set<std::string> now;
  for (const std::string& group : this->groups.Groups()) {
    if (this->groups.IsAllocator(this->options.self.host, group)) {
      now.insert(group);
    }
  }
  const bool has_new = !std::includes(
      this->own_groups.begin(), this->own_groups.end(), now.begin(), now.end());
  this->own_groups = std::move(now);
  if (this->own_groups.empty() || (!has_new && !stood_still)) {
    return;
  }
  this->allocator.SetTrustedFrom(this->parts.clock.WallMs() + kCollectMs);
  this->channel.AskAllToTell();
  LogLine("allocates")
      .Add("groups", this->own_groups.size())
      .Add("first", *this->own_groups.begin())
      .Add("stood_still", stood_still ? "yes" : "no")
      .WriteImportant();
}

void AllocationDuty::TellPressures() {
  const std::int64_t now_ms = this->parts.clock.WallMs();
  if (this->own_groups.empty() || !this->allocator.IsTrusted(now_ms)) {
    return;
  }
  const std::vector<std::string> all = this->groups.Groups();
  for (const std::string& own : this->own_groups) {
    if (this->groups.AllocatorsOf(own).front() != this->options.self.host) {
      continue;
    }
    const std::optional<GroupPressure> pressure =
        this->allocator.PressureOf(own, now_ms);
    if (!pressure.has_value()) {
      continue;
    }
    std::vector<std::string> told;
    std::sample(all.begin(), all.end(), std::back_inserter(told), kMostTold,
                this->parts.random);
    for (const std::string& group : told) {
      for (const std::string& host : this->groups.AllocatorsOf(group)) {
        if (group != own) {
          this->channel.Send(host, *pressure);
        }
      }
    }
  }
}

void AllocationDuty::GrantTurns() {
  for (const GrantedTurn& granted : this->allocator.GrantTurns(
           this->parts.clock.WallMs(), this->parts.random())) {
    this->channel.Send(granted.turn.host, granted.answer);
  }
}

template <typename Message>
void AllocationDuty::TellAllocators(const Message& message) {
  if (this->IsEverybody()) {
    return;
  }
  for (const std::string& host : this->HostsFor(message.engine)) {
    this->channel.Send(host, message);
  }
}

void AllocationDuty::TellAttempt(const EngineAttempt& attempt) {
  this->TellAllocators(attempt);
}

void AllocationDuty::TellReading(const ReadingSeen& seen) {
  this->TellAllocators(seen);
}

std::vector<std::string> AllocationDuty::HostsFor(
    std::string_view engine) const {
  const EngineView* const view = this->parts.fleet.Find(engine);
  if (view == nullptr) {
    return {};
  }
  std::vector<std::string> hosts =
      this->groups.AllocatorsOf(this->groups.GroupOf(engine, view->zone));
  std::erase(hosts, this->options.self.host);
  return hosts;
}

void AllocationDuty::On(std::string_view host, const PlaceAsk& ask) {
  const std::int64_t now_ms = this->parts.clock.WallMs();
  // What came meanwhile is read before the tick that is overdue.
  if (this->HasStoodStill()) {
    this->allocator.SetTrustedFrom(now_ms + kCollectMs);
  }
  AllocatorReply reply =
      this->allocator.Answer(ask, now_ms, this->parts.random());
  const std::vector<std::string>* const others =
      reply.pass_on_to.empty() ? nullptr
                               : &this->groups.AllocatorsOf(reply.pass_on_to);
  LogLine("allocate")
      .Add("request", ask.work.request)
      .Add("host", host)
      .Add("group", ask.group)
      .Add("passed_on", reply.pass_on_to)
      .Add("source", ask.source)
      .Add("verdict", static_cast<int>(reply.answer.verdict))
      .Add("engine", reply.answer.engine)
      .Add("cost", reply.answer.cost)
      .Add("first_event_ms", reply.answer.first_event_ms)
      .Write();
  if (others == nullptr || others->empty()) {
    this->channel.Send(ask.origin, reply.answer);
    return;
  }
  PlaceAsk passed = ask;
  passed.group = reply.pass_on_to;
  passed.is_passed_on = true;
  this->channel.Send(others->front(), passed);
}

void AllocationDuty::On(std::string_view /*host*/, const PlaceAnswer& answer) {
  this->asking.TakeAnswer(answer);
}

void AllocationDuty::On(std::string_view host, const TurnOver& over) {
  this->allocator.TakeTurnOver(host, over);
  this->GrantTurns();
}

void AllocationDuty::On(std::string_view /*host*/,
                        const GroupPressure& pressure) {
  this->allocator.TakePressure(pressure, this->parts.clock.WallMs());
}

void AllocationDuty::On(std::string_view /*host*/,
                        const EngineAttempt& attempt) {
  if (this->attempt_told) {
    this->attempt_told(attempt);
  }
}

void AllocationDuty::On(std::string_view /*host*/, const ReadingSeen& seen) {
  this->parts.fleet.ObserveReading(seen);
}

void AllocationDuty::OnAskedToTell() {
  if (this->tell_all) {
    this->tell_all();
  }
}

void AllocationDuty::OnNotes(std::string_view host,
                             std::span<const EngineLoadNote> notes) {
  this->parts.loads.OnNotes(host, notes);
  this->allocator.NoteTold(host, notes, this->parts.clock.WallMs());
}

}  // namespace meadowthread
