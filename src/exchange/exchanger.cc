#include "exchange/exchanger.h"

#include <algorithm>
#include <utility>

#include "base/error.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kNextBulkMs = 10;
constexpr int kNewsRetries = 1;
// A control server takes bodies of 1 MiB; the rest is JSON-RPC's.
constexpr std::size_t kMaxRequestBytes = (std::size_t{1} << 20) - 1024;

ErrorDetail DetailFor(ErrorId id, std::string_view peer) {
  ErrorDetail detail;
  detail.id = id;
  detail.step = "exchange";
  detail.peer = std::string(peer);
  return detail;
}

std::int64_t CountItems(std::span<const ViewPart> views) {
  std::int64_t count = 0;
  for (const ViewPart& view : views) {
    count += view.delta.has_value() ? std::ssize(view.delta->items) : 0;
  }
  return count;
}

}  // namespace

Exchanger::Exchanger(const HostIdentity& host_identity,
                     const ExchangeSettings& exchange_settings,
                     std::uint64_t seed, const ExchangeParts& exchange_parts)
    : identity(host_identity),
      settings(exchange_settings),
      parts(exchange_parts),
      sharer(exchange_parts.source),
      budget(exchange_settings, exchange_parts.clock),
      random(seed) {}

void Exchanger::CarryLoads(LoadSource* source, LoadSink* sink) {
  this->load_source = source;
  this->load_sink = sink;
}

void Exchanger::Start() { this->ScheduleRound(); }

void Exchanger::SetHosts(std::span<const PeerEntry> hosts) {
  this->parts.directory.SetHosts(hosts);
  this->knowledge.Retain([this](std::string_view name) {
    return this->parts.directory.IsKnown(name);
  });
}

ExchangeStats Exchanger::Stats() const {
  ExchangeStats now = this->stats;
  const PeerCounts counts = this->parts.directory.Counts();
  now.peers_alive = counts.alive;
  now.peers_suspected = counts.suspected;
  return now;
}

///////////////
// 1. rounds //
///////////////

// Jitter keeps hosts that were started together from asking together.
void Exchanger::ScheduleRound() {
  const double jitter = this->settings.round_jitter;
  std::uniform_real_distribution<double> share(1.0 - jitter, 1.0 + jitter);
  const double delay_ms =
      static_cast<double>(this->settings.round_ms) * share(this->random);
  this->Later(static_cast<std::int64_t>(delay_ms), [this] {
    this->RunRound();
    this->ScheduleRound();
  });
}

void Exchanger::RunRound() {
  ++this->stats.rounds;
  if (!this->budget.AllowsCall()) {
    ++this->stats.rounds_skipped;
    return;
  }
  const int room = this->settings.max_calls - this->calls_in_progress;
  // A host that knows nothing yet would be sent everything by each partner.
  const int partners = this->caught_up ? this->settings.partners : 1;
  const int count = std::min(partners, room);
  if (count <= 0) {
    return;
  }
  for (const RpcPeer& peer : this->parts.directory.Choose(count)) {
    this->Send({peer, CallKind::kRound}, this->DigestsToAsk());
  }
}

// Revision 0 asks for whole state.
std::vector<ViewPart> Exchanger::DigestsToAsk() {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  std::vector<ViewPart> views = this->sharer.Digests();
  for (ViewPart& view : views) {
    if (this->lag.TakeAskAnew(view.digest.kind, now_ms)) {
      view.digest.revision = 0;
      view.digest.beyond = 0;
    }
  }
  return views;
}

/////////////
// 2. news //
/////////////

void Exchanger::NoteChange(std::string_view kind) {
  this->sharer.NoteChange();
  this->changed_kinds.emplace(kind);
  this->ScheduleNews(this->settings.news_delay_ms);
}

void Exchanger::ScheduleNews(std::int64_t delay_ms) {
  if (this->news_scheduled || this->settings.news_fanout == 0) {
    return;
  }
  this->news_scheduled = true;
  this->Later(delay_ms, [this] {
    this->news_scheduled = false;
    this->TellNews();
  });
}

void Exchanger::TellNews() {
  if (!this->budget.AllowsCall()) {
    this->ScheduleNews(this->settings.retry_news_ms);
    return;
  }
  // Rounds bring what a smaller fan-out leaves out.
  const int fanout = this->budget.IsLow() ? 1 : this->settings.news_fanout;
  this->TellNewsTo(fanout, kNewsRetries);
  for (const KindDigest& digest : this->parts.source.Digests()) {
    this->told_revisions[digest.kind] = digest.revision;
  }
  this->changed_kinds.clear();
}

void Exchanger::TellNewsTo(int partners, int retries) {
  const int room = this->settings.max_calls - this->calls_in_progress;
  const int count = std::min(partners, room);
  if (count <= 0) {
    return;
  }
  for (const RpcPeer& peer : this->parts.directory.Choose(count)) {
    std::vector<ViewPart> views = this->NewsFor(peer.name);
    // To a peer that never showed its revisions, digests alone are worth it.
    const bool is_new = !this->knowledge.Knows(peer.name);
    if (is_new || CountItems(views) > 0) {
      this->Send({peer, CallKind::kNews, retries}, std::move(views));
    }
  }
}

// What changed since the last telling joins what most hosts know; a peer that
// is further behind shows it in its answer. What a peer showed earlier is used
// only where it says that less is enough: it is old, and the peer has heard
// from others since. Before the first telling nothing is known to be news, and
// digests alone are sent.
std::vector<ViewPart> Exchanger::NewsFor(std::string_view peer) {
  std::vector<ViewPart> assumed = this->sharer.Digests();
  for (ViewPart& part : assumed) {
    KindDigest& digest = part.digest;
    const auto told = this->told_revisions.find(digest.kind);
    if (told == this->told_revisions.end() ||
        !this->changed_kinds.contains(digest.kind)) {
      continue;
    }
    const KindDigest* const shown = this->knowledge.Find(peer, digest.kind);
    if (shown != nullptr && shown->revision >= told->second) {
      digest = *shown;
    } else {
      digest.revision = told->second;
      digest.beyond = 0;
    }
  }
  return this->sharer.PartsFor(assumed, this->budget.ForRequest());
}

///////////////////////////
// 3. calls and messages //
///////////////////////////

void Exchanger::Send(const OutgoingCall& call, std::vector<ViewPart> views) {
  std::string message = this->Encode(call.peer.name, views);
  if (message.size() > kMaxRequestBytes) {
    // The peer would refuse it; in its own rounds it gets any size.
    views = this->sharer.Digests();
    message = this->Encode(call.peer.name, views);
  }
  this->stats.items_sent += CountItems(views);
  this->CountOut(message);
  ++this->stats.calls;
  ++this->calls_in_progress;
  this->parts.directory.OnCallStarted(call.peer.name);
  this->parts.channel.Call(call.peer, kExchangeMethod, message,
                           this->settings.call_limit_ms,
                           this->life.Guarded([this, call](const auto& answer) {
                             this->OnAnswer(call, answer);
                           }));
}

void Exchanger::OnAnswer(const OutgoingCall& call,
                         const absl::StatusOr<std::string>& answer) {
  --this->calls_in_progress;
  if (!answer.ok()) {
    this->OnFailure(call, DetailOf(answer.status()).id);
    return;
  }
  this->stats.bytes_in += std::ssize(*answer);
  this->budget.Spend(answer->size());
  const absl::StatusOr<ExchangeMessage> message =
      DecodeExchange(*answer, call.peer.name);
  // Another name: the address went to another host.
  if (!message.ok() || message->from != call.peer.name) {
    ++this->stats.malformed;
    this->OnFailure(call, ErrorId::kPeerMalformed);
    return;
  }
  const bool restarted =
      this->parts.directory.OnAnswered(call.peer.name, message->incarnation);
  const ApplyResult result = this->Take(*message, restarted);
  this->lag.Compare(this->parts.source.Digests(), message->views,
                    this->parts.clock.MonotonicMs());
  this->caught_up = this->caught_up || result.caught_up;
  this->FollowUp(call, *message, result);
}

void Exchanger::OnFailure(const OutgoingCall& call, ErrorId error) {
  ++this->stats.failures;
  // A call that this host was too busy to make tells nothing of the peer.
  if (error == ErrorId::kOverloaded) {
    this->parts.directory.OnNotSent(call.peer.name);
    return;
  }
  this->parts.directory.OnFailed(call.peer.name);
  if (call.kind == CallKind::kNews && call.retries > 0 &&
      this->budget.AllowsCall()) {
    this->TellNewsTo(1, call.retries - 1);
  }
}

void Exchanger::FollowUp(const OutgoingCall& call,
                         const ExchangeMessage& answer,
                         const ApplyResult& result) {
  if (result.cut && result.taken > 0) {
    const RpcPeer peer = call.peer;
    this->Later(kNextBulkMs, [this, peer] {
      if (this->budget.AllowsCall()) {
        this->Send({peer, CallKind::kRound}, this->sharer.Digests());
      }
    });
    return;
  }
  // A follow-up isn't followed up: what is still missing comes in a round.
  if (!this->settings.push_to_behind || call.kind == CallKind::kFollowUp ||
      !this->budget.AllowsCall()) {
    return;
  }
  std::vector<ViewPart> lacked =
      this->sharer.PartsFor(answer.views, this->budget.ForRequest());
  if (CountItems(lacked) > 0) {
    this->Send({call.peer, CallKind::kFollowUp}, std::move(lacked));
  }
}

absl::StatusOr<std::string> Exchanger::Exchange(std::string_view params) {
  this->stats.bytes_in += std::ssize(params);
  this->budget.Spend(params.size());
  const absl::StatusOr<ExchangeMessage> message = DecodeExchange(params, "");
  if (!message.ok()) {
    ++this->stats.malformed;
    return message.status();
  }
  if (message->from == this->identity.name) {
    ++this->stats.malformed;
    return MakeError(absl::StatusCode::kInvalidArgument,
                     DetailFor(ErrorId::kRejectedByPeer, message->from),
                     "a host of the same name calls");
  }
  const bool restarted =
      this->parts.directory.OnHeard(message->from, message->incarnation);
  this->Take(*message, restarted);
  ++this->stats.served;
  std::vector<ViewPart> views =
      this->sharer.PartsFor(message->views, this->budget.ForAnswer());
  this->stats.items_sent += CountItems(views);
  std::string answer = this->Encode(message->from, std::move(views));
  this->CountOut(answer);
  return answer;
}

absl::StatusOr<std::string> Exchanger::Offer(std::string_view params) {
  this->stats.bytes_in += std::ssize(params);
  this->budget.Spend(params.size());
  const absl::StatusOr<std::vector<StoredObject>> items = DecodeOffer(params);
  if (!items.ok()) {
    ++this->stats.malformed;
    return items.status();
  }
  const int taken = this->parts.source.Offer(*items);
  this->stats.items_taken += taken;
  for (const StoredObject& item : *items) {
    if (taken > 0) {
      this->NoteChange(item.kind);
    }
  }
  return EncodeTaken(taken);
}

std::string Exchanger::Encode(std::string_view peer,
                              std::vector<ViewPart> views) {
  ExchangeMessage message;
  message.from = this->identity.name;
  message.incarnation = this->identity.incarnation;
  message.views = std::move(views);
  if (this->load_source != nullptr && !this->budget.IsLow() &&
      this->parts.directory.IsInRegion(peer)) {
    message.loads =
        this->load_source->NotesFor(peer, this->settings.load_notes);
  }
  return EncodeExchange(message);
}

void Exchanger::CountOut(std::string_view message) {
  this->stats.bytes_out += std::ssize(message);
  this->budget.Spend(message.size());
}

ApplyResult Exchanger::Take(const ExchangeMessage& message, bool restarted) {
  if (restarted) {
    this->knowledge.Forget(message.from);
  }
  ApplyResult result = this->sharer.Apply(message.from, message.views);
  this->stats.items_taken += result.taken;
  for (const std::string& kind : result.changed_kinds) {
    this->NoteChange(kind);
  }
  if (this->parts.directory.IsKnown(message.from)) {
    this->knowledge.Learn(message.from, message.views);
  }
  if (this->load_sink != nullptr && !message.loads.empty()) {
    this->load_sink->OnNotes(message.from, message.loads);
  }
  return result;
}

void Exchanger::Later(std::int64_t delay_ms,
                      const std::function<void()>& task) {
  this->parts.scheduler.After(delay_ms, this->life.Guarded([task] { task(); }));
}

}  // namespace meadowthread
