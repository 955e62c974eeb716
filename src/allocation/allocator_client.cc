#include "allocation/allocator_client.h"

#include <xxhash.h>

#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// An answer takes under a millisecond within a zone. A host whose share of
// processor time is used up stands still for less than this, and streams have
// targets of more than a second.
constexpr std::int64_t kAnswerMs = 60;
// A host that did not answer is not asked for so long: it is restarted, or cut
// off, and each asking would cost kAnswerMs.
constexpr std::int64_t kSuspectMs = 2'000;
// A turn that is waited for is asked for again, as the word of it may be lost.
constexpr std::int64_t kAskAgainMs = 250;
// Engines that leave are gone by then.
constexpr std::int64_t kLongestWaitMs = 3'000;
// Engines chosen for a request that this host knows to be unusable: after two,
// it chooses by itself.
constexpr int kMostRefusedEngines = 2;

Decision DecisionOf(const PlaceAnswer& answer, const WorkItem& work) {
  Decision decision;
  if (!answer.engine.empty()) {
    decision.considered.push_back({answer.engine, answer.cost,
                                   answer.memory_part, answer.in_flight, false,
                                   answer.first_event_ms});
  }
  if (answer.verdict == PlaceVerdict::kPlaced) {
    decision.engine = answer.engine;
    decision.reason = DecisionReason::kLeastLoad;
    decision.reading_ahead = answer.reading_ahead;
    decision.priority = detail::PlainPriority(work.urgency);
  } else {
    decision.reason = DecisionReason::kNoneHasRoom;
  }
  return decision;
}

}  // namespace

GroupAllocation::GroupAllocation(AllocationSelf self,
                                 const EngineGroups& groups,
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

void GroupAllocation::NoteHeard(std::string_view host) {
  const auto found = this->suspects.find(host);
  if (found != this->suspects.end()) {
    this->suspects.erase(found);
  }
}

bool GroupAllocation::IsSuspect(const std::string& host) const {
  const auto found = this->suspects.find(host);
  return found != this->suspects.end() &&
         found->second > this->clock.MonotonicMs();
}

// The allocator knows who has a part, and not who has used it.
bool GroupAllocation::HasUsedItsPart(std::string_view engine) const {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  return this->arrivals != nullptr && !this->arrivals->May(engine, now_ms) &&
         this->arrivals->HasPart(this->self.host, engine, now_ms);
}

// What this host has found out itself and the allocator may not know yet.
std::vector<std::string> GroupAllocation::NotUsableHere() const {
  const std::int64_t now_ms = this->clock.WallMs();
  std::vector<std::string> engines;
  for (std::size_t i = 0; i < this->fleet.EngineCount(); ++i) {
    const EngineView& view = this->fleet.View(static_cast<EngineIndex>(i));
    const bool is_set_aside =
        view.aside_until_ms > now_ms || view.no_room_until_ms > now_ms;
    const bool is_avoided = is_set_aside || this->HasUsedItsPart(view.engine);
    if (view.live && is_avoided && engines.size() < kMostAvoided) {
      engines.push_back(view.engine);
    }
  }
  return engines;
}

void GroupAllocation::Choose(const WorkItem& work, const Chosen& chosen) {
  PlaceAsk ask;
  ask.group = this->groups.HomeOf(
      this->self.zone, XXH64(work.request.data(), work.request.size(), 0));
  if (!this->is_shared || ask.group.empty()) {
    this->local.Choose(work, chosen);
    return;
  }
  ask.work = work;
  this->Begin(std::move(ask), chosen);
}

void GroupAllocation::AskMove(const MoveAsk& move, const Chosen& granted) {
  const EngineView* const view = this->fleet.Find(move.source);
  if (!this->is_shared || view == nullptr) {
    granted(Decision{});
    return;
  }
  PlaceAsk ask;
  ask.group = this->groups.GroupOf(move.source, view->zone);
  ask.source = move.source;
  ask.work = move.run;
  ask.work.is_copy = true;
  ask.work.forced = true;
  ask.may_pass_on = false;
  this->Begin(std::move(ask), granted);
}

void GroupAllocation::MoveOver(const MoveAsk& move) {
  const auto found = this->open_turns.find(move.run.request);
  if (found == this->open_turns.end()) {
    return;
  }
  const OpenTurn turn = found->second;
  this->open_turns.erase(found);
  this->channel.Send(turn.host, TurnOver{move.source, turn.ticket});
}

void GroupAllocation::Begin(PlaceAsk ask, const Chosen& chosen) {
  const std::uint64_t ticket = ++this->last_ticket;
  ask.ticket = ticket;
  ask.origin = this->self.host;
  ask.avoid = this->NotUsableHere();
  Pending one;
  one.hosts = this->groups.AllocatorsOf(ask.group);
  one.ask = std::move(ask);
  one.chosen = chosen;
  one.begun_ms = this->clock.MonotonicMs();
  this->pending.emplace(ticket, std::move(one));
  this->AskNext(ticket);
}

void GroupAllocation::AskNext(std::uint64_t ticket) {
  Pending& one = this->pending.at(ticket);
  one.is_queued = false;
  while (one.asked < one.hosts.size()) {
    ++one.asked;
    if (!this->IsSuspect(one.hosts[one.asked - 1])) {
      this->AskAgain(ticket);
      return;
    }
  }
  this->ChooseAlone(ticket);
}

// The answer may come before this returns.
void GroupAllocation::AskAgain(std::uint64_t ticket) {
  Pending& one = this->pending.at(ticket);
  ++one.askings;
  const PlaceAsk ask = one.ask;
  const std::string host = one.hosts[one.asked - 1];
  this->After(ticket, kAnswerMs);
  this->channel.Send(host, ask);
}

void GroupAllocation::After(std::uint64_t ticket, std::int64_t delay_ms) {
  const int asking = this->pending.at(ticket).askings;
  this->scheduler.After(delay_ms, this->life.Guarded([this, ticket, asking] {
    this->OnTimeout(ticket, asking);
  }));
}

void GroupAllocation::OnTimeout(std::uint64_t ticket, int asking) {
  const auto found = this->pending.find(ticket);
  if (found == this->pending.end() || found->second.askings != asking) {
    return;
  }
  Pending& one = found->second;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::string& host = one.hosts[one.asked - 1];
  if (!one.is_queued) {
    this->suspects[host] = now_ms + kSuspectMs;
    LogLine("allocator-silent")
        .Add("host", host)
        .Add("group", one.ask.group)
        .Add("request", one.ask.work.request)
        .WriteImportant();
    this->AskNext(ticket);
    return;
  }
  if (now_ms - one.begun_ms < kLongestWaitMs) {
    one.is_queued = false;
    this->AskAgain(ticket);
    return;
  }
  this->ChooseAlone(ticket);
}

void GroupAllocation::TakeAnswer(const PlaceAnswer& answer) {
  const auto found = this->pending.find(answer.ticket);
  if (found == this->pending.end()) {
    return;  // it came too late, or twice
  }
  Pending& one = found->second;
  switch (answer.verdict) {
    case PlaceVerdict::kPlaced:
      this->TakeChosen(answer.ticket, answer);
      return;
    case PlaceVerdict::kNoRoom:
      // The group that it was passed on from may have had some.
      if (answer.is_of_other_group && one.ask.may_pass_on) {
        one.ask.may_pass_on = false;
        this->AskAgain(answer.ticket);
        return;
      }
      this->Finish(answer.ticket, DecisionOf(answer, one.ask.work));
      return;
    case PlaceVerdict::kQueued:
      one.is_queued = true;
      ++one.askings;
      this->After(answer.ticket, kAskAgainMs);
      return;
    case PlaceVerdict::kDeclined:
      this->AskNext(answer.ticket);
      return;
    case PlaceVerdict::kNoEngine:
      this->ChooseAlone(answer.ticket);
      return;
  }
}

// The lists of engines differ for a moment: one that this host knows to leave
// gets nothing from it.
void GroupAllocation::TakeChosen(std::uint64_t ticket,
                                 const PlaceAnswer& answer) {
  Pending& one = this->pending.at(ticket);
  const EngineView* const view = this->fleet.Find(answer.engine);
  if (view != nullptr && view->Usable()) {
    if (!one.ask.source.empty()) {
      this->open_turns[one.ask.work.request] = {one.hosts[one.asked - 1],
                                                ticket};
    }
    this->Finish(ticket, DecisionOf(answer, one.ask.work));
    return;
  }
  one.ask.avoid.push_back(answer.engine);
  if (++one.refused_engines < kMostRefusedEngines) {
    this->AskAgain(ticket);
  } else {
    this->ChooseAlone(ticket);
  }
}

void GroupAllocation::Finish(std::uint64_t ticket, const Decision& decision) {
  const Chosen chosen = std::move(this->pending.at(ticket).chosen);
  this->pending.erase(ticket);
  chosen(decision);
}

void GroupAllocation::ChooseAlone(std::uint64_t ticket) {
  const Pending one = std::move(this->pending.at(ticket));
  this->pending.erase(ticket);
  LogLine("chosen-alone")
      .Add("request", one.ask.work.request)
      .Add("group", one.ask.group)
      .Add("asked", one.askings)
      .Write();
  if (one.ask.source.empty()) {
    this->local.Choose(one.ask.work, one.chosen);
    return;
  }
  if (one.asked > 0) {
    this->channel.Send(one.hosts[one.asked - 1],
                       TurnOver{one.ask.source, ticket});
  }
  one.chosen(Decision{});
}

}  // namespace meadowthread
