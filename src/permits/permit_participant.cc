#include "permits/permit_participant.h"

#include <algorithm>
#include <utility>

#include "base/log_line.h"
#include "base/rendezvous.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// Number of hosts that a changed rate is passed on to by each host that learns
// of it. Some 3 of 1,000 hosts are missed; they learn of it from the server's
// next answer.
constexpr std::size_t kFanout = 6;
// An answer takes a few milliseconds. This time is longer than the stalls of a
// host that has used up its share of CPU time.
constexpr std::int64_t kResponseTimeoutMs = 60;
// A host that did not answer is not asked again for this long, unless it is
// heard of.
constexpr std::int64_t kSuspectMs = 2'000;
constexpr std::int64_t kMaxRecheckMs = 500;
// Some call of a busy server ends within about this time.
constexpr std::int64_t kInFlightRetryMs = 20;
// A host that does not know the other hosts yet sends nothing to a server that
// names a rate.
constexpr std::int64_t kUnknownHostsRetryMs = 400;
// A host that heard nobody for this long takes itself for cut off from the
// others. Each host hears of some others several times a second.
constexpr std::int64_t kAloneMs = 2'000;
// The parts of the rate that the deputy grants: while it does not hear the
// granting host either, and while only others do not.
constexpr double kDeputyAlonePart = 0.5;
constexpr double kDeputyPart = 0.25;
constexpr double kScoreRange = 18'446'744'073'709'551'616.0;  // 2^64

std::size_t IndexOf(Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

// A host's place among all hosts for the permits of a server, from 0 to below
// 1.
double PositionOf(std::string_view host, std::string_view server) {
  return static_cast<double>(RendezvousScore(host, server)) / kScoreRange;
}

void LogMalformed(std::string_view host, const absl::Status& status) {
  LogLine("permit-malformed")
      .Add("host", host)
      .Add("why", std::string{status.message()})
      .WriteImportant();
}

}  // namespace

PermitParticipant::PermitParticipant(std::string_view self,
                                     GossipChannel& channel, const Clock& clock,
                                     Scheduler& scheduler, const Hosts& hosts)
    : self(self),
      channel(channel),
      clock(clock),
      scheduler(scheduler),
      hosts(hosts),
      heard_ms(clock.MonotonicMs()) {}

////////////////
// What is known
////////////////

void PermitParticipant::NoteAnswer(const RateAnswer& answer) {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (this->rates.ApplyAnswer(answer, now_ms)) {
    this->OnRateChanged(answer.server);
  }
  if (answer.brittle.kind == NamedRate::Kind::kNamed) {
    this->rejections.NoteBrittle(answer.server, answer.brittle.per_s);
  } else if (answer.brittle.kind == NamedRate::Kind::kMalformed) {
    this->rates.NoteMalformed(answer.server, now_ms);
  }
  if (answer.ran) {
    this->rejections.NoteRan(answer.server, now_ms);
  } else if (this->rejections.IsBrittle(answer.server)) {
    this->ReportRejection(answer.server);
  }
}

// The host that grants the server's permits counts the rejections of all hosts.
// A host that it does not answer goes by its own.
void PermitParticipant::ReportRejection(std::string_view server) {
  const std::optional<Rejection> rejection = this->rejections.Describe(
      server, this->hosts().size(), this->clock.MonotonicMs());
  if (!rejection.has_value()) {
    return;
  }
  const std::string host = this->HostToAsk(server);
  if (host.empty() || host == this->self) {
    this->CountRejection(server, *rejection);
    return;
  }
  this->channel.SendToHost(
      kRejectedTopic,
      ToJson(FullNews{std::string(server), rejection->bears_per_s,
                      rejection->rate_per_s, 0}),
      host);
}

void PermitParticipant::CountRejection(std::string_view server,
                                       const Rejection& rejection) {
  const auto counted = this->in_flight.find(server);
  if (counted != this->in_flight.end()) {
    if (this->RateOf(server).has_value()) {
      counted->second.NoteRejected(rejection.at_ms);
    } else {
      // Calls have been sent without permits since the last rejections.
      this->in_flight.erase(counted);
    }
  }
  if (this->rejections.Count(server, rejection)) {
    this->TellFull(server);
  }
}

void PermitParticipant::OnRejected(std::string_view host, const json& payload) {
  const absl::StatusOr<FullNews> news = FullNewsFrom(payload);
  if (!news.ok()) {
    LogMalformed(host, news.status());
    return;
  }
  this->CountRejection(news->server, {news->bears_per_s, news->rate_per_s,
                                      this->clock.MonotonicMs()});
}

// The lower of the rate that the server names and the one that follows from its
// rejections.
std::optional<double> PermitParticipant::RateOf(std::string_view server) const {
  const std::optional<double> named = this->rates.RateOf(server);
  const std::optional<double> rejecting =
      this->rejections.RateOf(server, this->clock.MonotonicMs());
  if (!named.has_value() || !rejecting.has_value()) {
    return named.has_value() ? named : rejecting;
  }
  return std::min(*named, *rejecting);
}

// A server that never named a rate has the oldest statement, that it names
// none.
RateNews PermitParticipant::NewsToSend(std::string_view server) const {
  const RateStatement* const known = this->rates.Find(server);
  return known == nullptr
             ? RateNews{std::string(server), 0.0, kMaxNewsAgeMs, kMaxNewsAgeMs}
             : NewsOf(server, *known, this->clock.MonotonicMs());
}

void PermitParticipant::Apply(std::string_view server,
                              const RateStatement& statement,
                              RateSource source) {
  if (this->rates.Apply(server, statement, source)) {
    this->OnRateChanged(server);
  }
}

void PermitParticipant::DropExhausted(std::string_view server) {
  const auto exhausted = this->exhausted_until_ms.find(server);
  if (exhausted != this->exhausted_until_ms.end()) {
    this->exhausted_until_ms.erase(exhausted);
  }
}

void PermitParticipant::TellFull(std::string_view server) {
  const Rejection& last = *this->rejections.Find(server);
  const std::int64_t age_ms = this->clock.MonotonicMs() - last.at_ms;
  this->channel.SendToRandom(
      kFullTopic,
      ToJson(FullNews{std::string(server), last.bears_per_s, last.rate_per_s,
                      age_ms}),
      kFanout);
}

void PermitParticipant::OnRateChanged(std::string_view server) {
  this->DropExhausted(server);
  this->channel.SendToRandom(kRateTopic,
                             ToJson(NewsOf(server, *this->rates.Find(server),
                                           this->clock.MonotonicMs())),
                             kFanout);
}

void PermitParticipant::OnRate(std::string_view host, const json& payload) {
  const absl::StatusOr<RateNews> news = RateNewsFrom(payload);
  if (!news.ok()) {
    LogMalformed(host, news.status());
    return;
  }
  this->Apply(news->server, StatementOf(*news, this->clock.MonotonicMs()),
              RateSource::kPeer);
}

void PermitParticipant::OnFull(std::string_view host, const json& payload) {
  const absl::StatusOr<FullNews> news = FullNewsFrom(payload);
  if (!news.ok()) {
    LogMalformed(host, news.status());
    return;
  }
  const Rejection told = {news->bears_per_s, news->rate_per_s,
                          this->clock.MonotonicMs() - news->age_ms};
  if (this->rejections.Apply(news->server, told)) {
    this->TellFull(news->server);
  }
}

bool PermitParticipant::IsLimited(std::string_view server) const {
  return this->RateOf(server).has_value();
}

std::int64_t PermitParticipant::ExhaustedForMs(std::string_view server,
                                               Urgency urgency) const {
  const auto found = this->exhausted_until_ms.find(server);
  if (found == this->exhausted_until_ms.end() || !this->IsLimited(server)) {
    return 0;
  }
  return std::max<std::int64_t>(
      0, found->second.at(IndexOf(urgency)) - this->clock.MonotonicMs());
}

void PermitParticipant::Remove(std::string_view server) {
  this->rates.Remove(server);
  this->rejections.Remove(server);
  this->buckets.erase(std::string(server));
  this->in_flight.erase(std::string(server));
  this->own_calls.erase(std::string(server));
  this->fallbacks.erase(std::string(server));
  this->exhausted_until_ms.erase(std::string(server));
}

///////////
// Granting
///////////

PermitParticipant::Granting PermitParticipant::GrantingHosts(
    std::string_view server) const {
  Granting granting;
  std::uint64_t first_score = 0;
  std::uint64_t second_score = 0;
  for (std::string& host : this->hosts()) {
    const std::uint64_t score = RendezvousScore(host, server);
    if (granting.first.empty() || score > first_score) {
      granting.deputy = std::move(granting.first);
      second_score = first_score;
      granting.first = std::move(host);
      first_score = score;
    } else if (granting.deputy.empty() || score > second_score) {
      granting.deputy = std::move(host);
      second_score = score;
    }
  }
  return granting;
}

// The rate at which this host grants permits; 0 if it grants none. The deputy
// can't know whether the first host goes on granting to others.
double PermitParticipant::GrantedRate(std::string_view server,
                                      double per_s) const {
  const Granting granting = this->GrantingHosts(server);
  if (granting.first == this->self) {
    return per_s;
  }
  if (granting.deputy != this->self) {
    return 0.0;
  }
  return per_s *
         (this->IsSuspect(granting.first) ? kDeputyAlonePart : kDeputyPart);
}

// Whether the other hosts may not hear this host, so that another one grants
// permits in its place.
bool PermitParticipant::IsAlone() const {
  return this->clock.MonotonicMs() - this->heard_ms > kAloneMs &&
         this->hosts().size() > 1;
}

// The host to ask for a permit; empty if none can be expected to answer.
std::string PermitParticipant::HostToAsk(std::string_view server) const {
  if (this->IsAlone()) {
    return std::string();
  }
  const Granting granting = this->GrantingHosts(server);
  if (!this->IsSuspect(granting.first)) {
    return granting.first;
  }
  return this->IsSuspect(granting.deputy) ? std::string() : granting.deputy;
}

PermitDecision PermitParticipant::Grant(std::string_view server, double per_s,
                                        const Purpose& purpose) {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const bool is_counted =
      purpose.is_call && this->rejections.Find(server) != nullptr;
  if (is_counted && !this->in_flight[std::string(server)].MayStart(
                        now_ms, this->rejections.RaiseAfterMs(server))) {
    return {false, kInFlightRetryMs};
  }
  PermitBucket& bucket =
      this->buckets.try_emplace(std::string(server), per_s, now_ms)
          .first->second;
  bucket.SetRate(per_s, now_ms);
  PermitDecision decision = bucket.Take(purpose.urgency, now_ms);
  if (is_counted && decision.granted) {
    decision.call = ++this->last_call;
    this->in_flight[std::string(server)].NoteStarted(decision.call, now_ms);
  }
  return decision;
}

PermitResponse PermitParticipant::Respond(const PermitRequest& request) {
  const std::string& server = request.rate.server;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  this->Apply(server, StatementOf(request.rate, now_ms), RateSource::kPeer);
  PermitResponse response;
  response.ticket = request.ticket;
  response.rate = this->NewsToSend(server);
  const std::optional<double> per_s = this->RateOf(server);
  const double granted_per_s =
      per_s.has_value() ? this->GrantedRate(server, *per_s) : 0.0;
  if (!per_s.has_value()) {
    response.status = PermitResponse::Status::kGranted;
  } else if (granted_per_s > 0.0) {
    const PermitDecision decision =
        this->Grant(server, granted_per_s, {request.urgency, request.is_call});
    response.status = decision.granted ? PermitResponse::Status::kGranted
                                       : PermitResponse::Status::kExhausted;
    response.retry_after_ms = decision.retry_after_ms;
    response.call = decision.call;
  }
  return response;
}

void PermitParticipant::OnRequest(std::string_view host, const json& payload) {
  const absl::StatusOr<PermitRequest> request = PermitRequestFrom(payload);
  if (!request.ok()) {
    LogMalformed(host, request.status());
    return;
  }
  this->channel.SendToHost(kResponseTopic, ToJson(this->Respond(*request)),
                           host);
}

/////////
// Asking
/////////

// The decision is recorded, so that requests which would be refused as well are
// not sent to the granting host.
PermitDecision PermitParticipant::Record(std::string_view server,
                                         Urgency urgency,
                                         const PermitDecision& decision) {
  ++(decision.granted ? this->stats.granted : this->stats.refused);
  if (!decision.granted) {
    // A rate that follows from rejections rises within a second.
    const std::int64_t most_ms = this->rates.RateOf(server).has_value()
                                     ? kMaxPermitRetryMs
                                     : kMaxRecheckMs;
    Times& until_ms = this->exhausted_until_ms[std::string(server)];
    until_ms.at(IndexOf(urgency)) =
        this->clock.MonotonicMs() + std::min(most_ms, decision.retry_after_ms);
  }
  LogLine("permit")
      .Add("server", server)
      .Add("urgency", UrgencyName(urgency))
      .Add("granted", decision.granted ? "yes" : "no")
      .Add("retry_after_ms", decision.retry_after_ms)
      .Write();
  return decision;
}

void PermitParticipant::Ask(std::string_view server, Urgency urgency,
                            const Decided& decided) {
  this->AskFor(server, {urgency, false}, decided);
}

void PermitParticipant::AskForCall(std::string_view server, Urgency urgency,
                                   const Decided& decided) {
  this->AskFor(server, {urgency, true}, decided);
}

void PermitParticipant::NoteCounted(std::string_view server,
                                    std::string_view host,
                                    const PermitDecision& decision) {
  if (decision.granted && decision.call != 0) {
    this->own_calls[std::string(server)].push_back(
        {std::string(host), decision.call});
  }
}

// Which of this host's calls at the server has ended makes no difference to the
// count. Calls that no host counts are not reported.
void PermitParticipant::NoteCallEnded(std::string_view server) {
  const auto counted = this->own_calls.find(server);
  if (counted == this->own_calls.end()) {
    return;
  }
  const CountedCall ended = std::move(counted->second.front());
  counted->second.pop_front();
  if (counted->second.empty()) {
    this->own_calls.erase(counted);
  }
  if (ended.host == this->self) {
    this->EndCall(server, ended.call);
  } else {
    this->channel.SendToHost(kCallEndedTopic,
                             ToJson(CallEnded{std::string(server), ended.call}),
                             ended.host);
  }
}

void PermitParticipant::EndCall(std::string_view server, std::uint64_t call) {
  const auto counted = this->in_flight.find(server);
  if (counted != this->in_flight.end()) {
    counted->second.NoteEnded(call);
  }
}

void PermitParticipant::OnCallEnded(std::string_view host,
                                    const json& payload) {
  const absl::StatusOr<CallEnded> ended = CallEndedFrom(payload);
  if (!ended.ok()) {
    LogMalformed(host, ended.status());
    return;
  }
  this->EndCall(ended->server, ended->call);
}

void PermitParticipant::AskFor(std::string_view server, const Purpose& purpose,
                               const Decided& decided) {
  const Urgency urgency = purpose.urgency;
  const std::optional<double> per_s = this->RateOf(server);
  if (!per_s.has_value()) {
    decided({true, 0});
    return;
  }
  const std::int64_t exhausted_ms = this->ExhaustedForMs(server, urgency);
  if (exhausted_ms > 0) {
    decided({false, exhausted_ms});
    return;
  }
  const std::string host = this->HostToAsk(server);
  if (host.empty()) {
    decided(this->FallBack(server, urgency));
  } else if (host == this->self) {
    const PermitDecision decision = this->Record(
        server, urgency,
        this->Grant(server, this->GrantedRate(server, *per_s), purpose));
    this->NoteCounted(server, this->self, decision);
    decided(decision);
  } else {
    this->SendRequest(host, server, purpose, decided);
  }
}

void PermitParticipant::SendRequest(std::string_view host,
                                    std::string_view server,
                                    const Purpose& purpose,
                                    const Decided& decided) {
  const std::uint64_t ticket = ++this->last_ticket;
  this->pending.emplace(ticket,
                        Pending{std::string(server), purpose.urgency, decided});
  const PermitRequest request = {ticket, purpose.urgency,
                                 this->NewsToSend(server), purpose.is_call};
  this->scheduler.After(
      kResponseTimeoutMs,
      this->life.Guarded([this, ticket, silent = std::string(host)] {
        this->OnTimeout(ticket, silent);
      }));
  this->channel.SendToHost(kRequestTopic, ToJson(request), host);
}

void PermitParticipant::OnResponse(std::string_view host, const json& payload) {
  const absl::StatusOr<PermitResponse> response = PermitResponseFrom(payload);
  if (!response.ok()) {
    LogMalformed(host, response.status());
    return;
  }
  this->Apply(response->rate.server,
              StatementOf(response->rate, this->clock.MonotonicMs()),
              RateSource::kPeer);
  const auto found = this->pending.find(response->ticket);
  if (found == this->pending.end()) {
    return;  // late or duplicate
  }
  const std::string server = found->second.server;
  const Urgency urgency = found->second.urgency;
  if (response->status == PermitResponse::Status::kDeclined) {
    this->Finish(response->ticket, this->FallBack(server, urgency));
    return;
  }
  const bool granted = response->status == PermitResponse::Status::kGranted;
  const PermitDecision decision = this->Record(
      server, urgency,
      {granted, granted ? 0 : response->retry_after_ms, response->call});
  this->NoteCounted(server, host, decision);
  this->Finish(response->ticket, decision);
}

void PermitParticipant::OnTimeout(std::uint64_t ticket,
                                  const std::string& host) {
  const auto found = this->pending.find(ticket);
  if (found == this->pending.end()) {
    return;
  }
  this->suspects[host] = this->clock.MonotonicMs() + kSuspectMs;
  LogLine("permit-host-silent")
      .Add("host", host)
      .Add("server", found->second.server)
      .WriteImportant();
  this->Finish(ticket,
               this->FallBack(found->second.server, found->second.urgency));
}

void PermitParticipant::Finish(std::uint64_t ticket,
                               const PermitDecision& decision) {
  const auto found = this->pending.find(ticket);
  const Decided decided = std::move(found->second.decided);
  this->pending.erase(found);
  decided(decision);
}

PermitDecision PermitParticipant::FallBack(std::string_view server,
                                           Urgency urgency) {
  const std::optional<double> per_s = this->RateOf(server);
  if (!per_s.has_value()) {
    return {true, 0};
  }
  const std::size_t count = this->hosts().size();
  if (count == 0) {
    return {false, kUnknownHostsRetryMs};
  }
  ++this->stats.fallback;
  FallbackShare& share =
      this->fallbacks
          .try_emplace(std::string(server), PositionOf(this->self, server))
          .first->second;
  return this->Record(server, urgency,
                      share.Take(*per_s, count, this->clock.MonotonicMs()));
}

bool PermitParticipant::IsSuspect(std::string_view host) const {
  const auto found = this->suspects.find(host);
  return found != this->suspects.end() &&
         found->second > this->clock.MonotonicMs();
}

void PermitParticipant::NoteHeard(std::string_view host) {
  this->heard_ms = this->clock.MonotonicMs();
  const auto found = this->suspects.find(host);
  if (found != this->suspects.end()) {
    this->suspects.erase(found);
  }
}

}  // namespace meadowthread
