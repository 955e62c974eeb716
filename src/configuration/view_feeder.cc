#include "configuration/view_feeder.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// Between two lines on objects that are passed over.
constexpr std::int64_t kPassedOverTellMs = 60'000;

}  // namespace

KindFeeder::KindFeeder(std::string_view kind, ObjectStore& store,
                       ReplicatedView& view, Scheduler& scheduler,
                       const Clock& clock, const FeederOptions& options,
                       std::function<bool()> is_watcher)
    : kind(kind),
      store(store),
      view(view),
      scheduler(scheduler),
      clock(clock),
      options(options),
      is_watcher(std::move(is_watcher)),
      random(options.seed) {
  this->state.kind = std::string(kind);
}

void KindFeeder::Start() {
  this->proved_ms = this->clock.MonotonicMs();
  this->Next();
}

void KindFeeder::Next() {
  this->state.watching = this->MustRead();
  if (!this->state.watching) {
    this->SetStalled(false, "not_watching");
    this->Later(this->Jitter(this->options.idle_ms), [this] { this->Next(); });
    return;
  }
  // After a failure a watch that waits for news would leave open whether the
  // store is back.
  const bool waits = this->state.failures == 0;
  this->Send(this->Choose(), waits ? this->options.wait_ms : 0);
}

// Some hosts watch and tell the others. A host that hears of no fresh read
// reads for itself: then those that should watch are gone or cut off. And every
// host repairs from time to time: what a watcher's watch lost below a watermark
// that peers took over, no peer's delta brings any more.
bool KindFeeder::MustRead() const {
  if (this->clock.MonotonicMs() - this->proved_ms >= this->options.repair_ms) {
    return true;
  }
  if (this->hurried) {
    return true;
  }
  const Confirmation confirmed = this->view.Digest(this->kind).confirmed;
  const std::int64_t age_ms = this->clock.WallMs() - confirmed.unix_ms;
  return this->is_watcher() || age_ms >= this->options.self_watch_ms;
}

// A host that does not watch looks every `idle_ms` whether it must read.
void KindFeeder::Hurry() { this->hurried = true; }

KindFeeder::ReadKind KindFeeder::Choose() const {
  if (this->must_list) {
    return ReadKind::kWhole;
  }
  const std::int64_t since_proof = this->clock.MonotonicMs() - this->proved_ms;
  return since_proof >= this->options.repair_ms ? ReadKind::kRepair
                                                : ReadKind::kWatch;
}

void KindFeeder::Send(ReadKind read_kind, std::int64_t wait_ms) {
  Read read;
  read.kind = read_kind;
  read.number = ++this->reads;
  read.sent_wall_ms = this->clock.WallMs();
  read.sent_ms = this->clock.MonotonicMs();
  this->pending = true;
  if (read_kind == ReadKind::kWatch) {
    read.wait_ms = wait_ms;
    read.since = this->view.Digest(this->kind).revision;
  } else if (read_kind == ReadKind::kRepair) {
    read.since = this->proved_revision;
  }
  const auto done = this->life.Guarded(
      [this, read](const absl::StatusOr<ObjectList>& answer) {
        this->Answered(read, answer);
      });
  if (read.wait_ms > 0) {
    this->Later(read.wait_ms + this->options.overdue_ms,
                [this, number = read.number] { this->LookAgain(number); });
  } else {
    this->GiveUpAfter(this->options.answer_margin_ms);
  }
  if (read_kind == ReadKind::kWatch) {
    this->store.Watch(this->kind, read.since, read.wait_ms, done);
  } else {
    this->store.List(this->kind, read.since, done);
  }
}

void KindFeeder::Answered(const Read& read,
                          const absl::StatusOr<ObjectList>& answer) {
  // The answer to a call given up: its items are as good as an offer, and the
  // next call is on its way already.
  if (!this->pending || read.number != this->reads) {
    if (answer.ok()) {
      this->view.ApplyItems(answer->items);
    }
    return;
  }
  this->pending = false;
  if (!answer.ok()) {
    this->Failed(answer.status());
    return;
  }
  this->state.last_answer_unix_ms = this->clock.WallMs();
  if (this->answered) {
    this->answered();
  }
  this->Take(read, *answer);
}

void KindFeeder::Take(const Read& read, const ObjectList& list) {
  const Confirmation confirmation = {this->ConfirmedAt(read, list),
                                     this->options.host};
  if (!this->view.ApplyList(this->kind, read.since, list, confirmation)) {
    ++this->state.stale_reads;
    this->Failed(absl::UnavailableError("stale read"));
    return;
  }
  this->NotePassedOver(list.passed_over);
  this->state.failures = 0;
  this->hurried = false;
  this->SetStalled(false, "answered");
  if (read.kind == ReadKind::kWatch) {
    this->malformed = 0;
  } else {
    this->must_list = false;
    this->proved_revision = list.revision;
    this->proved_ms = read.sent_ms;
  }
  const std::int64_t stagger_ms =
      this->options.stagger_ms ? this->options.stagger_ms() : 0;
  this->Later(this->options.pace_ms + stagger_ms, [this] { this->Next(); });
}

void KindFeeder::Failed(const absl::Status& status) {
  // A watch from the same revision on would bring what can't be read again.
  const ErrorId id = DetailOf(status).id;
  const bool is_malformed = id == ErrorId::kStoreMalformed;
  this->malformed += is_malformed ? 1 : 0;
  this->must_list =
      this->must_list || is_malformed || id == ErrorId::kStoreRevisionGone;
  ++this->state.failures;
  this->SetStalled(true, absl::StrCat(status.message()));
  this->Later(this->Backoff(), [this] { this->Next(); });
}

// Whether the store or the connection is silent shows by another one. What the
// first call still brings is taken as well.
void KindFeeder::LookAgain(std::uint64_t number) {
  if (!this->pending || number != this->reads) {
    return;
  }
  LogLine("watch-overdue").Add("kind", this->kind).WriteImportant();
  this->Send(ReadKind::kWatch, 0);
  this->GiveUpAfter(this->options.answer_margin_ms - this->options.overdue_ms);
}

void KindFeeder::GiveUpAfter(std::int64_t delay_ms) {
  this->Later(delay_ms, [this, number = this->reads] { this->GiveUp(number); });
}

// The store should end every call in time; should one be lost, the view must
// not stand still for ever.
void KindFeeder::GiveUp(std::uint64_t number) {
  if (!this->pending || number != this->reads) {
    return;
  }
  this->pending = false;
  this->Failed(absl::DeadlineExceededError("no answer"));
}

void KindFeeder::SetStalled(bool stalled, std::string_view why) {
  if (this->state.stalled == stalled) {
    return;
  }
  this->state.stalled = stalled;
  LogLine line("watch");
  line.Add("kind", this->kind).Add("stalled", stalled ? "yes" : "no");
  line.Add("why", why).Add("revision", this->view.Digest(this->kind).revision);
  line.WriteImportant();
}

// Such an object may be rewritten each heartbeat, and comes with every list.
void KindFeeder::NotePassedOver(std::int64_t count) {
  this->state.passed_over += count;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const bool is_due = this->passed_told_ms < 0 ||
                      now_ms - this->passed_told_ms >= kPassedOverTellMs;
  if (count > 0 && is_due) {
    this->passed_told_ms = now_ms;
    LogLine("objects-passed-over")
        .Add("kind", this->kind)
        .Add("now", count)
        .Add("since_start", this->state.passed_over)
        .WriteImportant();
  }
}

// When the answer was made is known only between bounds. Of a list: after it
// was asked for. Of a watch that ran out: after its whole wait.
std::int64_t KindFeeder::ConfirmedAt(const Read& read,
                                     const ObjectList& list) const {
  const std::int64_t took_ms = this->clock.MonotonicMs() - read.sent_ms;
  const bool ran_out = read.kind == ReadKind::kWatch && list.items.empty() &&
                       took_ms >= read.wait_ms;
  return read.sent_wall_ms + (ran_out ? read.wait_ms : 0);
}

std::int64_t KindFeeder::Backoff() {
  constexpr int kMostDoublings = 20;
  const int in_row = std::max(this->state.failures, this->malformed);
  const int doublings = std::min(in_row - 1, kMostDoublings);
  const std::int64_t backoff_ms = this->options.first_backoff_ms << doublings;
  return this->Jitter(std::min(backoff_ms, this->options.most_backoff_ms));
}

// From half to one and a half: hosts that failed together come back apart.
std::int64_t KindFeeder::Jitter(std::int64_t delay_ms) {
  std::uniform_int_distribution<std::int64_t> spread(0, delay_ms);
  return delay_ms / 2 + spread(this->random);
}

void KindFeeder::Later(std::int64_t delay_ms,
                       const std::function<void()>& task) {
  this->scheduler.After(delay_ms, this->life.Guarded(task));
}

std::vector<FedKind> FedAlike(std::span<const std::string_view> kinds,
                              const FeederOptions& options) {
  std::vector<FedKind> fed;
  for (const std::string_view kind : kinds) {
    fed.push_back({kind, options, {}});
  }
  return fed;
}

ViewFeeder::ViewFeeder(std::span<const FedKind> kinds, ObjectStore& store,
                       ReplicatedView& view, Scheduler& scheduler,
                       const Clock& clock,
                       const std::function<bool()>& is_watcher) {
  std::uint64_t number = 0;
  for (const FedKind& fed : kinds) {
    FeederOptions own = fed.options;
    own.seed += ++number;
    this->feeders.push_back(std::make_unique<KindFeeder>(
        fed.kind, store, view, scheduler, clock, own,
        fed.is_watcher ? fed.is_watcher : is_watcher));
  }
}

void ViewFeeder::Start() {
  for (const std::unique_ptr<KindFeeder>& feeder : this->feeders) {
    feeder->Start();
  }
}

void ViewFeeder::Hurry(std::string_view kind) {
  for (const auto& feeder : this->feeders) {
    if (feeder->State().kind == kind) {
      feeder->Hurry();
    }
  }
}

void ViewFeeder::OnAnswered(const std::function<void()>& told) {
  for (const auto& feeder : this->feeders) {
    feeder->OnAnswered(told);
  }
}

std::vector<FeederState> ViewFeeder::States() const {
  std::vector<FeederState> states;
  for (const std::unique_ptr<KindFeeder>& feeder : this->feeders) {
    states.push_back(feeder->State());
  }
  return states;
}

}  // namespace meadowthread
