#include "allocation/allocator_client.h"

#include <xxhash.h>

#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// A response takes less than a millisecond within a zone. This time is longer
// than the stalls of a host that has used up its share of CPU time, and short
// compared with the latency targets of streams, which are more than a second.
constexpr std::int64_t kResponseTimeoutMs = 60;
// An allocator that did not respond is not asked again for this long: it is
// being restarted or is unreachable, and each request to it would lose
// kResponseTimeoutMs.
constexpr std::int64_t kSuspectMs = 2'000;
// Period in which the request of a queued migration is repeated, because the
// message that grants the link may be lost.
constexpr std::int64_t kQueueRetryMs = 250;
// Maximum time for which a migration waits for the link: after that, its
// draining engine is gone.
constexpr std::int64_t kMaxQueueWaitMs = 3'000;
// After the allocator has chosen this many engines that this host knows to be
// unusable, the host chooses locally.
constexpr int kMaxRejectedEngines = 2;

Decision DecisionOf(const PlacementResponse& response, const WorkItem& work) {
  Decision decision;
  if (!response.engine.empty()) {
    decision.considered.push_back({response.engine, response.cost,
                                   response.memory_share, response.in_flight,
                                   false, response.first_event_ms});
  }
  if (response.status == PlacementStatus::kPlaced) {
    decision.engine = response.engine;
    decision.reason = DecisionReason::kLeastLoad;
    decision.prefill_ahead_tokens = response.prefill_tokens_ahead;
    decision.priority = detail::UrgencyPriority(work.urgency);
  } else {
    decision.reason = DecisionReason::kNoneHasRoom;
    // The allocator goes by what all hosts reported to it.
    decision.rests_on_peer_run = true;
  }
  return decision;
}

}  // namespace

AllocatorClient::AllocatorClient(HostLocation self, const EngineGroups& groups,
                                 const FleetState& fleet,
                                 EngineAllocation& local,
                                 AllocationChannel& channel,
                                 Scheduler& scheduler, const Clock& clock)
    : self(std::move(self)),
      groups(groups),
      fleet(fleet),
      local(local),
      channel(channel),
      scheduler(scheduler),
      clock(clock) {}

void AllocatorClient::NoteHeard(std::string_view host) {
  const auto found = this->suspects.find(host);
  if (found != this->suspects.end()) {
    this->suspects.erase(found);
  }
}

bool AllocatorClient::IsSuspect(const std::string& host) const {
  const auto found = this->suspects.find(host);
  return found != this->suspects.end() &&
         found->second > this->clock.MonotonicMs();
}

// Checked here because the allocator knows which hosts have a share of an
// engine's rate limit, but not whether they have used it up.
bool AllocatorClient::HasUsedUpArrivalShare(std::string_view engine) const {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  return this->arrivals != nullptr && !this->arrivals->May(engine, now_ms) &&
         this->arrivals->HasShare(this->self.host, engine, now_ms);
}

bool AllocatorClient::HasUsedUpPermits(std::string_view engine) const {
  return this->permits != nullptr &&
         this->permits->ExhaustedForMs(engine, Urgency::kUrgent) > 0;
}

bool AllocatorClient::IsInBackoff(std::string_view engine) const {
  return this->backoffs != nullptr &&
         this->backoffs->RemainingMs(engine, this->clock.MonotonicMs()) > 0;
}

// Engines that this host cannot use now: it could not reach them, they refused
// a KV-cache copy, they asked it to back off, or its share of their rate limit
// or the permits for them are used up. The allocator may not know this.
std::vector<std::string> AllocatorClient::LocallyUnusableEngines() const {
  const std::int64_t now_ms = this->clock.WallMs();
  std::vector<std::string> engines;
  for (std::size_t i = 0; i < this->fleet.EngineCount(); ++i) {
    const EngineView& view = this->fleet.View(static_cast<EngineIndex>(i));
    const bool is_set_aside =
        view.unreachable_until_ms > now_ms || view.no_room_until_ms > now_ms;
    const bool is_avoided =
        is_set_aside || this->HasUsedUpArrivalShare(view.engine) ||
        this->HasUsedUpPermits(view.engine) || this->IsInBackoff(view.engine);
    if (view.live && is_avoided && engines.size() < kMaxAvoidedEngines) {
      engines.push_back(view.engine);
    }
  }
  return engines;
}

void AllocatorClient::Choose(const WorkItem& work, const Chosen& chosen) {
  PlacementRequest request;
  request.group =
      this->groups.GroupFor({this->self.zone, work.service},
                            XXH64(work.request.data(), work.request.size(), 0));
  if (!this->is_shared || request.group.empty()) {
    this->local.Choose(work, chosen);
    return;
  }
  request.work = work;
  this->Begin(std::move(request), chosen);
}

void AllocatorClient::RequestMigration(const MigrationRequest& move,
                                       const Chosen& granted) {
  const EngineView* const view = this->fleet.Find(move.source);
  if (!this->is_shared || view == nullptr) {
    granted(Decision{});
    return;
  }
  PlacementRequest request;
  request.group = this->groups.GroupOf(*view);
  request.source = move.source;
  request.work = move.run;
  request.work.is_copy = true;
  request.work.forced = true;
  request.may_forward = false;
  this->Begin(std::move(request), granted);
}

void AllocatorClient::EndMigration(const MigrationRequest& move) {
  const auto found = this->held_links.find(move.run.request);
  if (found == this->held_links.end()) {
    return;
  }
  const HeldLink link = found->second;
  this->held_links.erase(found);
  this->channel.Send(link.host, LinkRelease{move.source, link.ticket});
}

void AllocatorClient::Begin(PlacementRequest request, const Chosen& chosen) {
  const std::uint64_t ticket = ++this->last_ticket;
  request.ticket = ticket;
  request.origin = this->self.host;
  request.avoid = this->LocallyUnusableEngines();
  Pending entry;
  entry.allocators = this->groups.AllocatorsOf(request.group);
  entry.request = std::move(request);
  entry.chosen = chosen;
  entry.started_ms = this->clock.MonotonicMs();
  this->pending.emplace(ticket, std::move(entry));
  this->AskNextAllocator(ticket);
}

void AllocatorClient::AskNextAllocator(std::uint64_t ticket) {
  Pending& entry = this->pending.at(ticket);
  entry.is_queued = false;
  while (entry.tried < entry.allocators.size()) {
    ++entry.tried;
    if (!this->IsSuspect(entry.allocators[entry.tried - 1])) {
      this->SendRequest(ticket);
      return;
    }
  }
  this->FallBack(ticket);
}

// The response may be handled, and the pending entry erased, before this
// function returns.
void AllocatorClient::SendRequest(std::uint64_t ticket) {
  Pending& entry = this->pending.at(ticket);
  ++entry.attempts;
  const PlacementRequest request = entry.request;
  const std::string host = entry.allocators[entry.tried - 1];
  this->StartTimeout(ticket, kResponseTimeoutMs);
  this->channel.Send(host, request);
}

void AllocatorClient::StartTimeout(std::uint64_t ticket,
                                   std::int64_t delay_ms) {
  const int attempt = this->pending.at(ticket).attempts;
  this->scheduler.After(delay_ms, this->life.Guarded([this, ticket, attempt] {
    this->OnTimeout(ticket, attempt);
  }));
}

void AllocatorClient::OnTimeout(std::uint64_t ticket, int attempt) {
  const auto found = this->pending.find(ticket);
  if (found == this->pending.end() || found->second.attempts != attempt) {
    return;
  }
  Pending& entry = found->second;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::string& host = entry.allocators[entry.tried - 1];
  if (!entry.is_queued) {
    this->suspects[host] = now_ms + kSuspectMs;
    LogLine("allocator-silent")
        .Add("host", host)
        .Add("group", entry.request.group)
        .Add("request", entry.request.work.request)
        .WriteImportant();
    this->AskNextAllocator(ticket);
    return;
  }
  if (now_ms - entry.started_ms < kMaxQueueWaitMs) {
    entry.is_queued = false;
    this->SendRequest(ticket);
    return;
  }
  this->FallBack(ticket);
}

void AllocatorClient::OnResponse(const PlacementResponse& response) {
  const auto found = this->pending.find(response.ticket);
  if (found == this->pending.end()) {
    return;  // late or duplicate
  }
  Pending& entry = found->second;
  switch (response.status) {
    case PlacementStatus::kPlaced:
      this->OnPlaced(response.ticket, response);
      return;
    case PlacementStatus::kNoRoom:
      // The host's own group, which forwarded the request, may have room.
      if (response.was_forwarded && entry.request.may_forward) {
        entry.request.may_forward = false;
        this->SendRequest(response.ticket);
        return;
      }
      this->Finish(response.ticket, DecisionOf(response, entry.request.work));
      return;
    case PlacementStatus::kQueued:
      entry.is_queued = true;
      ++entry.attempts;  // so that the running timeout is ignored
      this->StartTimeout(response.ticket, kQueueRetryMs);
      return;
    case PlacementStatus::kDeclined:
      this->AskNextAllocator(response.ticket);
      return;
    case PlacementStatus::kNoEngine:
      this->FallBack(response.ticket);
      return;
  }
}

// The engine lists of two hosts may differ for a moment. If this host knows the
// chosen engine to be draining or gone, it rejects the engine and repeats the
// request.
void AllocatorClient::OnPlaced(std::uint64_t ticket,
                               const PlacementResponse& response) {
  Pending& entry = this->pending.at(ticket);
  const EngineView* const view = this->fleet.Find(response.engine);
  if (view != nullptr && view->Usable()) {
    if (!entry.request.source.empty()) {
      this->held_links[entry.request.work.request] = {
          entry.allocators[entry.tried - 1], ticket};
    }
    this->Finish(ticket, DecisionOf(response, entry.request.work));
    return;
  }
  entry.request.avoid.push_back(response.engine);
  if (++entry.rejected_engines < kMaxRejectedEngines) {
    this->SendRequest(ticket);
  } else {
    this->FallBack(ticket);
  }
}

void AllocatorClient::Finish(std::uint64_t ticket, const Decision& decision) {
  const Chosen chosen = std::move(this->pending.at(ticket).chosen);
  this->pending.erase(ticket);
  chosen(decision);
}

// Called if no allocator placed the request: chooses an engine locally for new
// work, and none for a migration.
void AllocatorClient::FallBack(std::uint64_t ticket) {
  const Pending entry = std::move(this->pending.at(ticket));
  this->pending.erase(ticket);
  LogLine("chosen-alone")
      .Add("request", entry.request.work.request)
      .Add("group", entry.request.group)
      .Add("asked", entry.attempts)
      .Write();
  if (entry.request.source.empty()) {
    this->local.Choose(entry.request.work, entry.chosen);
    return;
  }
  if (entry.tried > 0) {
    this->channel.Send(entry.allocators[entry.tried - 1],
                       LinkRelease{entry.request.source, ticket});
  }
  entry.chosen(Decision{});
}

}  // namespace meadowthread
