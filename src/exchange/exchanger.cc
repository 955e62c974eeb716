#include "exchange/exchanger.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kContinueDelayMs = 10;
constexpr int kPushRetries = 1;
constexpr std::int64_t kSkipLogMs = 10'000;
// The control server accepts bodies of 1 MiB; 1024 bytes are left for the
// JSON-RPC envelope.
constexpr std::size_t kMaxRequestBytes = (std::size_t{1} << 20) - 1024;

ErrorDetail DetailFor(ErrorId id, std::string_view peer) {
  ErrorDetail detail;
  detail.id = id;
  detail.step = "exchange";
  detail.peer = std::string(peer);
  return detail;
}

std::int64_t CountItems(std::span<const KindUpdate> views) {
  std::int64_t count = 0;
  for (const KindUpdate& view : views) {
    count += view.delta.has_value() ? std::ssize(view.delta->items) : 0;
  }
  return count;
}

}  // namespace

Exchanger::Exchanger(const HostIdentity& host_identity,
                     const ExchangeSettings& exchange_settings,
                     std::uint64_t seed,
                     const ExchangeDependencies& exchange_parts)
    : identity(host_identity),
      settings(exchange_settings),
      parts(exchange_parts),
      synchronizer(exchange_parts.source),
      budget(exchange_settings, exchange_parts.clock),
      random(seed) {}

void Exchanger::EnableLoadNotes(LoadSource* source, LoadSink* sink) {
  this->load_source = source;
  this->load_sink = sink;
}

void Exchanger::Start() { this->ScheduleRound(); }

void Exchanger::SetHosts(std::span<const PeerEntry> hosts) {
  this->parts.directory.SetHosts(hosts);
  this->peer_digests.Retain([this](std::string_view name) {
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

// Jitter keeps hosts that were started together from calling at the same time.
void Exchanger::ScheduleRound() {
  const double jitter = this->settings.round_jitter;
  std::uniform_real_distribution<double> share(1.0 - jitter, 1.0 + jitter);
  const double delay_ms =
      static_cast<double>(this->settings.round_ms) * share(this->random);
  this->RunAfter(static_cast<std::int64_t>(delay_ms), [this] {
    this->RunRound();
    this->ScheduleRound();
  });
}

void Exchanger::RunRound() {
  ++this->stats.rounds;
  if (!this->budget.AllowsCall()) {
    this->SkipRound();
    return;
  }
  const int free_calls = this->settings.max_calls - this->calls_in_progress;
  // Until this host has caught up, each peer could send it the full state.
  const int partners = this->caught_up ? this->settings.partners : 1;
  const int count = std::min(partners, free_calls);
  if (count <= 0) {
    return;
  }
  for (const RpcPeer& peer : this->parts.directory.Choose(count)) {
    this->Send({peer, CallKind::kRound}, this->RequestDigests());
  }
}

// Hosts that make no rounds hear late that others have read the store, and then
// read it themselves.
void Exchanger::SkipRound() {
  ++this->stats.rounds_skipped;
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  if (this->skip_logged_ms.has_value() &&
      now_ms - *this->skip_logged_ms < kSkipLogMs) {
    return;
  }
  this->skip_logged_ms = now_ms;
  LogLine("exchange-rounds-skipped")
      .Add("why", "byte budget")
      .Add("since_start", this->stats.rounds_skipped)
      .Add("of", this->stats.rounds)
      .Add("bytes_in", this->stats.bytes_in)
      .Add("bytes_out", this->stats.bytes_out)
      .WriteImportant();
}

// Revision 0 requests the full state.
std::vector<KindUpdate> Exchanger::RequestDigests() {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  std::vector<KindUpdate> views = this->synchronizer.Digests();
  for (KindUpdate& view : views) {
    if (this->lag.TakeFullStateRequest(view.digest.kind, now_ms)) {
      view.digest.revision = 0;
      view.digest.beyond = 0;
    }
  }
  return views;
}

///////////////////////
// 2. pushed changes //
///////////////////////

void Exchanger::NoteChange(std::string_view kind) {
  this->synchronizer.NoteChange();
  if (!this->unpushed_kinds.contains(kind)) {
    this->Push(kind);
  }
}

void Exchanger::Push(std::string_view kind) {
  this->changed_kinds.emplace(kind);
  this->SchedulePush(this->settings.push_delay_ms);
}

void Exchanger::SchedulePush(std::int64_t delay_ms) {
  if (this->push_scheduled || this->settings.push_fanout == 0) {
    return;
  }
  this->push_scheduled = true;
  this->RunAfter(delay_ms, [this] {
    this->push_scheduled = false;
    this->PushChanges();
  });
}

void Exchanger::PushChanges() {
  if (!this->budget.AllowsCall()) {
    this->SchedulePush(this->settings.push_retry_ms);
    return;
  }
  // Rounds reach the peers that a smaller fan-out leaves out.
  const int fanout = this->budget.IsLow() ? 1 : this->settings.push_fanout;
  this->PushChangesTo(fanout, kPushRetries);
  for (const KindDigest& digest : this->parts.source.Digests()) {
    this->pushed_revisions[digest.kind] = digest.revision;
  }
  this->changed_kinds.clear();
}

void Exchanger::PushChangesTo(int partners, int retries) {
  const int free_calls = this->settings.max_calls - this->calls_in_progress;
  const int count = std::min(partners, free_calls);
  if (count <= 0) {
    return;
  }
  for (const RpcPeer& peer : this->parts.directory.Choose(count)) {
    std::vector<KindUpdate> views = this->ChangesFor(peer.name);
    // A peer whose digests are unknown is called even without items to send.
    const bool is_new = !this->peer_digests.Contains(peer.name);
    if (is_new || CountItems(views) > 0) {
      this->Send({peer, CallKind::kPush, retries}, std::move(views));
    }
  }
}

// Assumes that a peer knows everything up to the last push, as most hosts do,
// and sends what changed since; a peer that is further behind shows it in its
// response. The digest that the peer sent last is used only where it shows that
// fewer objects are enough: it is old, and the peer has heard from others
// since. Before the first push nothing counts as changed, and only digests are
// sent.
std::vector<KindUpdate> Exchanger::ChangesFor(std::string_view peer) {
  std::vector<KindUpdate> assumed = this->synchronizer.Digests();
  for (KindUpdate& part : assumed) {
    KindDigest& digest = part.digest;
    const auto pushed = this->pushed_revisions.find(digest.kind);
    if (pushed == this->pushed_revisions.end() ||
        !this->changed_kinds.contains(digest.kind)) {
      continue;
    }
    const KindDigest* const latest = this->peer_digests.Find(peer, digest.kind);
    if (latest != nullptr && latest->revision >= pushed->second) {
      digest = *latest;
    } else {
      digest.revision = pushed->second;
      digest.beyond = 0;
    }
  }
  return this->synchronizer.UpdatesFor(assumed, this->budget.ForRequest());
}

///////////////////////////
// 3. calls and messages //
///////////////////////////

void Exchanger::Send(const OutgoingCall& call, std::vector<KindUpdate> views) {
  std::string message = this->Encode(call.peer.name, views);
  if (message.size() > kMaxRequestBytes) {
    // The peer would refuse it. Responses to its own rounds have no such limit.
    views = this->synchronizer.Digests();
    message = this->Encode(call.peer.name, views);
  }
  this->stats.items_sent += CountItems(views);
  this->CountSent(message);
  ++this->stats.calls;
  ++this->calls_in_progress;
  this->parts.directory.OnCallStarted(call.peer.name);
  this->parts.channel.Call(call.peer, kExchangeMethod, message,
                           this->settings.call_timeout_ms,
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
  // Another name means that the address now belongs to another host.
  if (!message.ok() || message->from != call.peer.name) {
    ++this->stats.malformed;
    this->OnFailure(call, ErrorId::kPeerMalformed);
    return;
  }
  const bool restarted =
      this->parts.directory.OnAnswered(call.peer.name, message->incarnation);
  const ApplyResult result = this->ApplyMessage(*message, restarted);
  this->lag.Compare(this->parts.source.Digests(), message->views,
                    this->parts.clock.MonotonicMs());
  this->caught_up = this->caught_up || result.caught_up;
  this->FollowUp(call, *message, result);
}

void Exchanger::OnFailure(const OutgoingCall& call, ErrorId error) {
  ++this->stats.failures;
  // A call that this host was too busy to make says nothing about the peer.
  if (error == ErrorId::kOverloaded) {
    this->parts.directory.OnNotSent(call.peer.name);
    return;
  }
  this->parts.directory.OnFailed(call.peer.name);
  if (call.kind == CallKind::kPush && call.retries > 0 &&
      this->budget.AllowsCall()) {
    this->PushChangesTo(1, call.retries - 1);
  }
}

void Exchanger::FollowUp(const OutgoingCall& call,
                         const ExchangeMessage& answer,
                         const ApplyResult& result) {
  if (result.cut && result.taken > 0) {
    const RpcPeer peer = call.peer;
    this->RunAfter(kContinueDelayMs, [this, peer] {
      if (this->budget.AllowsCall()) {
        this->Send({peer, CallKind::kRound}, this->synchronizer.Digests());
      }
    });
    return;
  }
  // A follow-up call causes no further one: rounds bring what is still missing.
  if (!this->settings.push_to_behind || call.kind == CallKind::kFollowUp ||
      !this->budget.AllowsCall()) {
    return;
  }
  std::vector<KindUpdate> lacked =
      this->synchronizer.UpdatesFor(answer.views, this->budget.ForRequest());
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
                     "the caller has the same name as this host");
  }
  const bool restarted = this->parts.directory.SetSenderListener(
      message->from, message->incarnation);
  this->ApplyMessage(*message, restarted);
  ++this->stats.served;
  std::vector<KindUpdate> views =
      this->synchronizer.UpdatesFor(message->views, this->budget.ForAnswer());
  this->stats.items_sent += CountItems(views);
  std::string answer = this->Encode(message->from, std::move(views));
  this->CountSent(answer);
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
                              std::vector<KindUpdate> views) {
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

void Exchanger::CountSent(std::string_view message) {
  this->stats.bytes_out += std::ssize(message);
  this->budget.Spend(message.size());
}

ApplyResult Exchanger::ApplyMessage(const ExchangeMessage& message,
                                    bool restarted) {
  if (restarted) {
    this->peer_digests.Forget(message.from);
  }
  ApplyResult result = this->synchronizer.Apply(message.from, message.views);
  this->stats.items_taken += result.taken;
  for (const std::string& kind : result.changed_kinds) {
    this->NoteChange(kind);
  }
  if (this->parts.directory.IsKnown(message.from)) {
    this->peer_digests.Update(message.from, message.views);
  }
  if (this->load_sink != nullptr && !message.loads.empty()) {
    this->load_sink->OnNotes(message.from, message.loads);
  }
  return result;
}

void Exchanger::RunAfter(std::int64_t delay_ms,
                         const std::function<void()>& task) {
  this->parts.scheduler.After(delay_ms, this->life.Guarded([task] { task(); }));
}

}  // namespace meadowthread
