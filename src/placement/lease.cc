#include "placement/lease.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// The writer of a document that cannot be parsed may hold the lease. Waits for
// the longest lifetime and order window that any lease may have.
constexpr std::int64_t kUnreadableWaitMs = 2 * kMaxLeaseMs;

bool HasErrorId(const absl::Status& status, ErrorId id) {
  return DetailOf(status).id == id;
}

}  // namespace

Lease::Lease(std::string_view name, const LeaseSettings& settings,
             ObjectStore& store, const Clock& clock, NonceSource& nonces)
    : name(name),
      settings(settings),
      store(store),
      clock(clock),
      nonces(nonces) {}

// 1. Results of listings.

void Lease::Observe(const StoredObject& object) {
  if (object.deleted) {
    this->ObserveAbsent();
    return;
  }
  const absl::StatusOr<LeaseDocument> document = ParseLease(object.value);
  if (this->IsOwnTenure(document)) {
    this->ConfirmWrite(object.version, document->sequence);
    return;
  }
  // A version that is not newer than the one that this tenure started from, or
  // than our last confirmed write, comes from a stale read.
  if (this->tenure.has_value()) {
    const std::int64_t newest =
        std::max(this->tenure->base_version, this->tenure->version);
    if (object.version <= newest) {
      return;
    }
    this->EndTenure("taken_over");
  }
  this->RecordObserved(object.version, this->WaitMsFor(document));
}

void Lease::ObserveAbsent() {
  if (this->tenure.has_value()) {
    // Either the listing is older than this tenure's first write, or the object
    // was removed. The next conditional write shows which.
    return;
  }
  const std::int64_t wait_ms =
      this->observed.has_value() ? this->observed->wait_ms : 0;
  this->RecordObserved(0, wait_ms);
}

void Lease::RecordObserved(std::int64_t version, std::int64_t wait_ms) {
  if (this->observed.has_value() && this->observed->version == version) {
    return;
  }
  // The wait starts when the listing arrives. This is safe, as the holder
  // counts its lease from before it sent the write and so from an earlier time.
  this->observed = ObservedLease{version, this->clock.MonotonicMs(), wait_ms};
}

std::int64_t Lease::WaitMsFor(
    const absl::StatusOr<LeaseDocument>& document) const {
  const std::int64_t hold_ms =
      document.ok() ? document->ttl_ms + document->order_window_ms
                    : kUnreadableWaitMs;
  return hold_ms + this->settings.drift_margin_ms;
}

bool Lease::IsOwnTenure(const absl::StatusOr<LeaseDocument>& document) const {
  return this->tenure.has_value() && document.ok() &&
         document->tenure == this->tenure->nonce;
}

bool Lease::WaitElapsed() const {
  if (!this->observed.has_value()) {
    return false;
  }
  const std::int64_t waited_ms =
      this->clock.MonotonicMs() - this->observed->first_seen_ms;
  return waited_ms >= this->observed->wait_ms + this->takeover_delay_ms;
}

// 2. Acquiring, renewing and giving up.

void Lease::Tick() {
  if (this->call_in_flight) {
    return;
  }
  if (!this->tenure.has_value()) {
    if (this->WaitElapsed()) {
      this->BeginTenure();
    }
    return;
  }
  if (this->tenure->write_unconfirmed) {
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

void Lease::BeginTenure() {
  this->tenure = LeaseTerm{};
  this->tenure->nonce = this->nonces.Next();
  this->tenure->base_version = this->observed->version;
  this->Write();
}

LeaseDocument Lease::MakeDocument(std::int64_t ttl_ms) const {
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
  LeaseTerm& now = *this->tenure;
  const std::int64_t sequence = now.next_sequence;
  const std::string text =
      EncodeLease(this->MakeDocument(this->settings.ttl_ms));
  // The lifetime counts from before the write is sent. A pause of this process
  // between here and the answer then shortens our lease, but never the time
  // that a successor waits.
  now.last_sent_ms = this->clock.MonotonicMs();
  now.sent.push_back({sequence, now.last_sent_ms, this->clock.WallMs()});
  ++now.next_sequence;
  now.renew_soon = false;
  this->call_in_flight = true;
  const std::int64_t expected =
      now.version != 0 ? now.version : now.base_version;
  this->store.Put(
      kLeaseKind, this->name, text, expected,
      this->life.Guarded([this, nonce = now.nonce, sequence](
                             const absl::StatusOr<std::int64_t>& answer) {
        this->OnWritten(nonce, sequence, answer);
      }));
}

void Lease::OnWritten(const std::string& nonce, std::int64_t sequence,
                      const absl::StatusOr<std::int64_t>& answer) {
  this->call_in_flight = false;
  if (!this->tenure.has_value() || this->tenure->nonce != nonce) {
    return;  // this tenure has ended
  }
  if (answer.ok()) {
    this->ConfirmWrite(*answer, sequence);
    return;
  }
  if (HasErrorId(answer.status(), ErrorId::kStoreUnavailable)) {
    return;  // not applied; the next tick tries again
  }
  // The write may have been applied, and a conflict may be with a delayed
  // earlier write of our own, so the object is read back.
  this->tenure->write_unconfirmed = true;
  this->ReadBack();
}

void Lease::ReadBack() {
  this->call_in_flight = true;
  this->store.Get(
      kLeaseKind, this->name,
      this->life.Guarded([this](const absl::StatusOr<StoredObject>& answer) {
        this->OnReadBack(answer);
      }));
}

void Lease::OnReadBack(const absl::StatusOr<StoredObject>& answer) {
  this->call_in_flight = false;
  if (!this->tenure.has_value()) {
    return;
  }
  if (answer.ok()) {
    this->tenure->write_unconfirmed = false;
    this->Observe(*answer);
    return;
  }
  if (!HasErrorId(answer.status(), ErrorId::kNotFound)) {
    return;  // the next tick reads again
  }
  this->tenure->write_unconfirmed = false;
  if (this->tenure->version != 0) {
    this->EndTenure("removed");
    this->RecordObserved(
        0, this->settings.ttl_ms + this->settings.order_window_ms);
  }
}

void Lease::ConfirmWrite(std::int64_t version, std::int64_t sequence) {
  LeaseTerm& now = *this->tenure;
  if (version <= now.version) {
    return;
  }
  const bool first = now.first_version == 0;
  now.version = version;
  now.write_unconfirmed = false;
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

void Lease::StepDown(std::string_view reason) {
  if (!this->tenure.has_value()) {
    return;
  }
  const std::int64_t version =
      std::max(this->tenure->version, this->tenure->base_version);
  this->EndTenure(reason);
  this->RecordObserved(version, this->settings.ttl_ms +
                                    this->settings.order_window_ms +
                                    this->settings.drift_margin_ms);
}

void Lease::EndTenure(std::string_view reason) {
  if (this->tenure->first_version != 0) {
    this->Log(reason);
  }
  this->tenure.reset();
  this->observed.reset();
}

void Lease::Release() {
  if (!this->Held() || this->call_in_flight) {
    this->StepDown("released");
    return;
  }
  const std::int64_t version = this->tenure->version;
  const std::string text = EncodeLease(this->MakeDocument(0));
  // Steps down before the write is sent: no order may be sent afterwards, even
  // if the write fails.
  this->StepDown("released");
  this->store.Put(kLeaseKind, this->name, text, version,
                  [](const absl::StatusOr<std::int64_t>&) {});
}

// 3. State.

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
  // The monotonic clock may stop while the machine is suspended, so the wall
  // clock is checked as well. If the wall clock steps forward, the lease just
  // ends early.
  const std::int64_t by_monotonic =
      this->tenure->expires_monotonic_ms - this->clock.MonotonicMs();
  const std::int64_t by_wall =
      this->tenure->expires_wall_ms - this->clock.WallMs();
  return std::max<std::int64_t>(0, std::min(by_monotonic, by_wall));
}

void Lease::Log(std::string_view reason) const {
  LogLine line("placement");
  line.Add("duty", this->name).Add("holder", this->settings.holder);
  line.Add("fence", this->tenure.has_value() ? this->tenure->version : 0);
  line.Add("why", reason);
  line.Write();
}

}  // namespace meadowthread
