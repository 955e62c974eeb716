#include "allocation/allocator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

// A host's word of its work tells of a place given so long before, whatever it
// says: the way there and back in a zone, and a step of its notes' timer.
constexpr std::int64_t kKnownAfterMs = 40;
// A place of which the host has said nothing for so long was not taken, or its
// word was lost: it comes again with all others. Hosts whose share of processor
// time is used up stand still for less.
constexpr std::int64_t kGivenMs = 300;
// Pressures are told each quarter of a second; three may be lost.
constexpr std::int64_t kPressureAgeMs = 1'000;
// Another zone's engine has to be better by so much, a third of an engine's
// memory: its streams cross between zones, and so do the copies of its runs.
constexpr double kOtherGroupCost = 0.3;
// What a place passed on adds to what is known of the other group, until it
// tells anew: one prompt's reading over some dozen engines, as many times as
// there are groups that see the same and pass on as well.
constexpr double kPassedOnCost = 0.1;

PlaceAnswer AnswerOf(const PlaceAsk& ask, const Decision& decision) {
  PlaceAnswer answer;
  answer.ticket = ask.ticket;
  if (!decision.considered.empty()) {
    const Candidate& best = decision.considered.front();
    answer.engine = best.engine;
    answer.cost = best.cost;
    answer.memory_part = best.overfill_chance;
    answer.in_flight = best.in_flight;
    answer.first_event_ms = std::max<std::int64_t>(0, best.first_event_ms);
  }
  if (decision.engine.has_value()) {
    answer.verdict = PlaceVerdict::kPlaced;
    answer.engine = *decision.engine;
    answer.reading_ahead = std::max<std::int64_t>(0, decision.reading_ahead);
  } else {
    answer.verdict = decision.reason == DecisionReason::kNoneHasRoom
                         ? PlaceVerdict::kNoRoom
                         : PlaceVerdict::kNoEngine;
  }
  return answer;
}

}  // namespace

Allocator::Allocator(std::string_view self, const PressureOptions& options,
                     FleetState& fleet, const EngineGroups& groups)
    : self(self), options(options), fleet(fleet), groups(groups) {}

AllocatorReply Allocator::Answer(const PlaceAsk& ask, std::int64_t now_ms,
                                 std::uint64_t random) {
  if (!this->IsTrusted(now_ms) ||
      !this->groups.IsAllocator(this->self, ask.group)) {
    PlaceAnswer declined;
    declined.ticket = ask.ticket;
    return {declined, ""};
  }
  if (!ask.source.empty()) {
    return this->AnswerMove(ask, now_ms, random);
  }
  const Decision decision = this->ChooseFor(ask, now_ms, random);
  const std::string lighter = this->LighterGroup(ask, decision, now_ms);
  if (!lighter.empty()) {
    return {PlaceAnswer{}, lighter};
  }
  if (decision.engine.has_value()) {
    this->Give(ask, *decision.engine, now_ms);
  }
  this->last_work[ask.group] = ask.work;
  PlaceAnswer answer = AnswerOf(ask, decision);
  answer.is_of_other_group = ask.is_passed_on;
  return {answer, ""};
}

bool Allocator::HasPart(std::string_view host, std::string_view engine) const {
  return host.empty() || this->arrivals == nullptr ||
         this->arrivals->HasPart(host, engine,
                                 this->arrivals_clock->MonotonicMs());
}

Decision Allocator::ChooseFor(const PlaceAsk& ask, std::int64_t now_ms,
                              std::uint64_t random) {
  PressureOptions with = this->options;
  // All engines of a group are as near to the host that asks.
  with.zone_cost = 0.0;
  // Nobody else chooses here, so that the best is the best.
  with.near_equal = 0.0;
  // Moves look for a link without another copy on it.
  if (!ask.source.empty()) {
    with.busy_link_cost = kBusyLinkCost;
  }
  PressureChooser chooser(with);
  chooser.SetWithin([this, &ask](const EngineView& view) {
    const bool is_avoided = std::find(ask.avoid.begin(), ask.avoid.end(),
                                      view.engine) != ask.avoid.end();
    return !is_avoided && this->HasPart(ask.origin, view.engine) &&
           this->groups.GroupOf(view.engine, view.zone) == ask.group;
  });
  return chooser.Choose(ask.work, this->fleet, now_ms, random);
}

// Work that finds no room here, or a far better engine elsewhere, is passed on
// once.
std::string Allocator::LighterGroup(const PlaceAsk& ask,
                                    const Decision& decision,
                                    std::int64_t now_ms) {
  if (!ask.may_pass_on || ask.is_passed_on) {
    return "";
  }
  ToldPressure* best = nullptr;
  std::string_view best_group;
  for (auto& [group, told] : this->pressures) {
    const bool is_fresh = now_ms - told.told_ms <= kPressureAgeMs;
    if (is_fresh && group != ask.group &&
        (best == nullptr || told.cost < best->cost)) {
      best = &told;
      best_group = group;
    }
  }
  const bool is_better =
      best != nullptr &&
      (decision.considered.empty() ||
       best->cost + kOtherGroupCost < decision.considered.front().cost);
  if (!is_better) {
    return "";
  }
  best->cost += kPassedOnCost;
  return std::string(best_group);
}

// Until the host tells of it, the place counts as another host's work.
void Allocator::Give(const PlaceAsk& ask, const std::string& engine,
                     std::int64_t now_ms) {
  if (ask.origin == this->self) {
    return;  // its own work is known
  }
  Given one{ask.origin, engine,
            absl::StrCat(ask.origin, "/", ++this->last_given), now_ms,
            this->RequestsOf(ask.origin, engine, now_ms)};
  PeerLoad load;
  load.peer = one.name;
  load.engine = engine;
  load.as_of_unix_ms = now_ms;
  load.in_flight = 1;
  load.reading = ask.work.is_copy ? 0 : ask.work.prompt_tokens;
  load.copies = ask.work.is_copy ? 1 : 0;
  load.forecast.AddStream(
      {ask.work.prompt_tokens, 0, ask.work.max_output_tokens},
      *this->fleet.Lengths().CurveOf(LengthKeyOf(ask.work)));
  this->fleet.NotePeerLoad(load, now_ms);
  this->given.push_back(std::move(one));
}

void Allocator::Forget(const Given& one) {
  this->fleet.ForgetPeerLoad(one.engine, one.name);
}

// Told, and given but not told of yet.
std::int64_t Allocator::RequestsOf(std::string_view host,
                                   std::string_view engine,
                                   std::int64_t now_ms) const {
  std::int64_t requests = 0;
  for (const PeerLoad& load : this->fleet.PeersAt(engine, now_ms)) {
    requests += load.peer == host ? load.in_flight : 0;
  }
  return requests + std::count_if(this->given.begin(), this->given.end(),
                                  [&](const Given& one) {
                                    return one.host == host &&
                                           one.engine == engine;
                                  });
}

// One request more than before is the one that was given; with as many, an
// older one may have ended, or the word left before the place was known.
void Allocator::NoteTold(std::string_view host,
                         std::span<const EngineLoadNote> notes,
                         std::int64_t now_ms) {
  std::erase_if(this->given, [&](const Given& one) {
    const auto note = std::find_if(notes.begin(), notes.end(),
                                   [&one](const EngineLoadNote& told) {
                                     return told.engine == one.engine;
                                   });
    const bool is_told = one.host == host && note != notes.end() &&
                         (note->in_flight > one.before ||
                          now_ms - one.given_ms >= kKnownAfterMs);
    if (is_told) {
      this->Forget(one);
    }
    return is_told;
  });
}

/////////
// Moves
/////////

AllocatorReply Allocator::AnswerMove(const PlaceAsk& ask, std::int64_t now_ms,
                                     std::uint64_t random) {
  const LinkTurn turn{ask.origin, ask.ticket};
  if (this->turns.Ask(ask.source, turn, now_ms)) {
    this->waiting_runs.erase({turn.host, turn.ticket});
    return {this->GiveTarget(ask, now_ms, random), ""};
  }
  this->waiting_runs[{turn.host, turn.ticket}] = {ask, now_ms};
  PlaceAnswer queued;
  queued.ticket = ask.ticket;
  queued.verdict = PlaceVerdict::kQueued;
  return {queued, ""};
}

PlaceAnswer Allocator::GiveTarget(const PlaceAsk& ask, std::int64_t now_ms,
                                  std::uint64_t random) {
  const Decision decision = this->ChooseFor(ask, now_ms, random);
  if (decision.engine.has_value()) {
    this->Give(ask, *decision.engine, now_ms);
  }
  return AnswerOf(ask, decision);
}

std::vector<GrantedTurn> Allocator::GrantTurns(std::int64_t now_ms,
                                               std::uint64_t random) {
  std::set<std::string> engines;
  for (const auto& [who, run] : this->waiting_runs) {
    engines.insert(run.ask.source);
  }
  std::vector<GrantedTurn> granted;
  for (const std::string& engine : engines) {
    const std::optional<LinkTurn> next = this->turns.Next(engine, now_ms);
    if (!next.has_value()) {
      continue;
    }
    const auto run = this->waiting_runs.find({next->host, next->ticket});
    if (run == this->waiting_runs.end()) {
      this->turns.Over(engine, *next);
      continue;
    }
    granted.push_back(
        {*next, this->GiveTarget(run->second.ask, now_ms, random)});
    this->waiting_runs.erase(run);
  }
  return granted;
}

///////////////
// Its upkeep
///////////////

std::optional<GroupPressure> Allocator::PressureOf(std::string_view group,
                                                   std::int64_t now_ms) {
  const auto work = this->last_work.find(group);
  if (work == this->last_work.end()) {
    return std::nullopt;
  }
  PlaceAsk ask;
  ask.group = std::string(group);
  ask.work = work->second;
  const Decision decision = this->ChooseFor(ask, now_ms, 0);
  // A group without room is no place to pass work on to.
  if (!decision.engine.has_value()) {
    return std::nullopt;
  }
  return GroupPressure{ask.group, decision.considered.front().cost};
}

void Allocator::DropOld(std::int64_t now_ms) {
  this->turns.DropOld(now_ms);
  std::erase_if(this->waiting_runs, [now_ms](const auto& entry) {
    return now_ms - entry.second.asked_ms > kPressureAgeMs;
  });
  while (!this->given.empty() &&
         now_ms - this->given.front().given_ms > kGivenMs) {
    this->Forget(this->given.front());
    this->given.pop_front();
  }
}

}  // namespace meadowthread
