#include "placement/lease.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// Who wrote a document that cannot be read may still act on it.
constexpr std::int64_t kUnreadableWaitMs = 2 * kLongestLeaseMs;

bool Is(const absl::Status& status, ErrorId id) {
  return DetailOf(status).id == id;
}

}  // namespace

Lease::Lease(std::string_view for_duty, const LeaseSettings& with,
             ObjectStore& over, const Clock& by, NonceSource& from)
    : duty(for_duty), settings(with), store(over), clock(by), nonces(from) {}

// 1. What a listing shows.

void Lease::Observe(const StoredObject& object) {
  if (object.deleted) {
    this->ObserveAbsent();
    return;
  }
  const absl::StatusOr<LeaseDocument> document = ParseLease(object.value);
  if (this->IsOwn(document)) {
    this->Confirm(object.version, document->sequence);
    return;
  }
  // An older version than ours is a stale read and says nothing.
  if (this->tenure.has_value()) {
    const std::int64_t newest =
        std::max(this->tenure->base_version, this->tenure->version);
    if (object.version <= newest) {
      return;
    }
    this->Lose("taken_over");
  }
  this->Sight(object.version, this->WaitFor(document));
}

void Lease::ObserveAbsent() {
  if (this->tenure.has_value()) {
    // Either the first write has not been seen yet or someone removed the
    // object; the next write's condition settles which.
    return;
  }
  const std::int64_t wait_ms =
      this->sighting.has_value() ? this->sighting->wait_ms : 0;
  this->Sight(0, wait_ms);
}

void Lease::Sight(std::int64_t version, std::int64_t wait_ms) {
  if (this->sighting.has_value() && this->sighting->version == version) {
    return;
  }
  // Counted from the answer's arrival: the version was written before that,
  // and its holder counts from before it sent the write.
  this->sighting = Sighting{version, this->clock.MonotonicMs(), wait_ms};
}

std::int64_t Lease::WaitFor(
    const absl::StatusOr<LeaseDocument>& document) const {
  const std::int64_t hold_ms =
      document.ok() ? document->ttl_ms + document->order_window_ms
                    : kUnreadableWaitMs;
  return hold_ms + this->settings.drift_margin_ms;
}

bool Lease::IsOwn(const absl::StatusOr<LeaseDocument>& document) const {
  return this->tenure.has_value() && document.ok() &&
         document->tenure == this->tenure->nonce;
}

bool Lease::WaitedOut() const {
  if (!this->sighting.has_value()) {
    return false;
  }
  const std::int64_t waited_ms =
      this->clock.MonotonicMs() - this->sighting->first_seen_ms;
  return waited_ms >= this->sighting->wait_ms + this->takeover_delay_ms;
}

// 2. Driving.

void Lease::Tick() {
  if (this->busy) {
    return;
  }
  if (!this->tenure.has_value()) {
    if (this->WaitedOut()) {
      this->Begin();
    }
    return;
  }
  if (this->tenure->unsettled) {
    this->ReadBack();
    return;
  }
  const std::int64_t since_ms =
      this->clock.MonotonicMs() - this->tenure->last_sent_ms;
  const bool confirmed = this->tenure->version != 0;
  const bool due = since_ms >= this->settings.renew_every_ms;
  if (!confirmed || due || this->tenure->renew_soon) {
    this->Write();
  }
}

void Lease::Begin() {
  this->tenure = Tenure{};
  this->tenure->nonce = this->nonces.Next();
  this->tenure->base_version = this->sighting->version;
  this->Write();
}

LeaseDocument Lease::Document(std::int64_t ttl_ms) const {
  LeaseDocument document;
  document.holder = this->settings.holder;
  document.incarnation = this->settings.incarnation;
  document.tenure = this->tenure->nonce;
  document.sequence = this->tenure->next_sequence;
  document.ttl_ms = ttl_ms;
  document.order_window_ms = this->settings.order_window_ms;
  document.expires_unix_ms = this->clock.WallMs() + ttl_ms;
  document.order_deadline_unix_ms =
      document.expires_unix_ms + this->settings.order_window_ms;
  return document;
}

void Lease::Write() {
  Tenure& now = *this->tenure;
  const std::int64_t sequence = now.next_sequence;
  const std::string text = EncodeLease(this->Document(this->settings.ttl_ms));
  // Noted before the write leaves: a pause between here and the answer
  // shortens our hold and never a successor's wait.
  now.last_sent_ms = this->clock.MonotonicMs();
  now.sent.push_back({sequence, now.last_sent_ms, this->clock.WallMs()});
  ++now.next_sequence;
  now.renew_soon = false;
  this->busy = true;
  const std::int64_t expected =
      now.version != 0 ? now.version : now.base_version;
  this->store.Put(
      kLeaseKind, this->duty, text, expected,
      this->life.Guarded([this, nonce = now.nonce, sequence](
                             const absl::StatusOr<std::int64_t>& answer) {
        this->OnWritten(nonce, sequence, answer);
      }));
}

void Lease::OnWritten(const std::string& nonce, std::int64_t sequence,
                      const absl::StatusOr<std::int64_t>& answer) {
  this->busy = false;
  if (!this->tenure.has_value() || this->tenure->nonce != nonce) {
    return;  // stepped down meanwhile
  }
  if (answer.ok()) {
    this->Confirm(*answer, sequence);
    return;
  }
  if (Is(answer.status(), ErrorId::kStoreUnavailable)) {
    return;  // certainly not applied: the next tick tries again
  }
  // A conflict may be an earlier write of our own that took effect late.
  this->tenure->unsettled = true;
  this->ReadBack();
}

void Lease::ReadBack() {
  this->busy = true;
  this->store.Get(
      kLeaseKind, this->duty,
      this->life.Guarded([this](const absl::StatusOr<StoredObject>& answer) {
        this->OnReadBack(answer);
      }));
}

void Lease::OnReadBack(const absl::StatusOr<StoredObject>& answer) {
  this->busy = false;
  if (!this->tenure.has_value()) {
    return;
  }
  if (answer.ok()) {
    this->tenure->unsettled = false;
    this->Observe(*answer);
    return;
  }
  if (!Is(answer.status(), ErrorId::kNotFound)) {
    return;  // still unsettled: the next tick reads again
  }
  this->tenure->unsettled = false;
  if (this->tenure->version != 0) {
    this->Lose("removed");
    this->Sight(0, this->settings.ttl_ms + this->settings.order_window_ms);
  }
}

void Lease::Confirm(std::int64_t version, std::int64_t sequence) {
  Tenure& now = *this->tenure;
  if (version <= now.version) {
    return;
  }
  const bool first = now.first_version == 0;
  now.version = version;
  now.unsettled = false;
  for (const SentWrite& write : now.sent) {
    if (write.sequence == sequence) {
      const std::int64_t hold_ms =
          this->settings.ttl_ms - this->settings.drift_margin_ms;
      now.expires_monotonic_ms = write.monotonic_ms + hold_ms;
      now.expires_wall_ms = write.wall_ms + hold_ms;
    }
  }
  std::erase_if(now.sent, [sequence](const SentWrite& write) {
    return write.sequence <= sequence;
  });
  if (first) {
    now.first_version = version;
    this->Log("acquired");
  }
}

void Lease::RenewSoon() {
  if (this->tenure.has_value()) {
    this->tenure->renew_soon = true;
  }
}

void Lease::StepDown(std::string_view why) {
  if (!this->tenure.has_value()) {
    return;
  }
  const std::int64_t version =
      std::max(this->tenure->version, this->tenure->base_version);
  this->Lose(why);
  this->Sight(version, this->settings.ttl_ms + this->settings.order_window_ms +
                           this->settings.drift_margin_ms);
}

void Lease::Lose(std::string_view why) {
  if (this->tenure->first_version != 0) {
    this->Log(why);
  }
  this->tenure.reset();
  this->sighting.reset();
}

void Lease::Release() {
  if (!this->Held() || this->busy) {
    this->StepDown("released");
    return;
  }
  const std::int64_t version = this->tenure->version;
  const std::string text = EncodeLease(this->Document(0));
  // No order may follow the write, whatever becomes of it.
  this->StepDown("released");
  this->store.Put(kLeaseKind, this->duty, text, version,
                  [](const absl::StatusOr<std::int64_t>&) {});
}

// 3. What may be done now.

bool Lease::Held() const { return this->RemainingMs() > 0; }

std::int64_t Lease::Fence() const {
  return this->Held() ? this->tenure->version : 0;
}

bool Lease::IsOwnFence(std::int64_t fence) const {
  return this->tenure.has_value() && this->tenure->first_version != 0 &&
         fence >= this->tenure->first_version && fence <= this->tenure->version;
}

std::int64_t Lease::RemainingMs() const {
  if (!this->tenure.has_value() || this->tenure->version == 0) {
    return 0;
  }
  // A machine that was suspended may have stopped its monotonic clock; the
  // wall clock then tells. One that steps forward only ends the hold early.
  const std::int64_t by_monotonic =
      this->tenure->expires_monotonic_ms - this->clock.MonotonicMs();
  const std::int64_t by_wall =
      this->tenure->expires_wall_ms - this->clock.WallMs();
  return std::max<std::int64_t>(0, std::min(by_monotonic, by_wall));
}

void Lease::Log(std::string_view why) const {
  LogLine line("placement");
  line.Add("duty", this->duty).Add("holder", this->settings.holder);
  line.Add("fence", this->tenure.has_value() ? this->tenure->version : 0);
  line.Add("why", why);
  line.Write();
}

}  // namespace meadowthread
