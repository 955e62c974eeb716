#include "configuration/view_watcher.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

// Minimum interval between log lines about skipped objects.
constexpr std::int64_t kSkippedLogIntervalMs = 60'000;

}  // namespace

KindWatcher::KindWatcher(std::string_view kind, ObjectStore& store,
                         ReplicatedView& view, Scheduler& scheduler,
                         const Clock& clock, const WatcherOptions& options,
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

void KindWatcher::Start() {
  this->listed_ms = this->clock.MonotonicMs();
  this->ReadNext();
}

void KindWatcher::ReadNext() {
  this->state.watching = this->MustRead();
  if (!this->state.watching) {
    this->SetStalled(false, "not_watching");
    this->RunAfter(this->Jitter(this->options.idle_ms),
                   [this] { this->ReadNext(); });
    return;
  }
  // After a failure the watch doesn't wait for changes, so that a response
  // shows at once that the store is back.
  const bool waits = this->state.failures == 0;
  this->Send(this->ChooseReadKind(), waits ? this->options.wait_ms : 0);
}

// Some hosts watch and pass changes on to the others. A host that learns of no
// recent read reads the store itself, as the watchers are then gone or
// unreachable. Every host also lists periodically: if a watch lost an event
// below a watermark that peers have adopted, no peer's delta will contain it.
bool KindWatcher::MustRead() const {
  if (this->clock.MonotonicMs() - this->listed_ms >= this->options.repair_ms) {
    return true;
  }
  if (this->read_requested) {
    return true;
  }
  const Confirmation confirmed = this->view.Digest(this->kind).confirmed;
  const std::int64_t age_ms = this->clock.WallMs() - confirmed.unix_ms;
  return this->is_watcher() || age_ms >= this->options.self_watch_ms;
}

// A host that isn't watching checks this flag every `idle_ms`.
void KindWatcher::RequestRead() { this->read_requested = true; }

// A watch may wait on a connection from before the store went away. Hosts that
// do not watch hear of the era by the others.
void KindWatcher::ReadAnew() {
  if (!this->state.watching ||
      this->store.HasHistorySince(this->view.Digest(this->kind).revision)) {
    return;
  }
  const std::uint64_t number = ++this->reads;  // gives up the pending call
  this->pending = false;
  this->RunAfter(0, [this, number] {
    if (number == this->reads && !this->pending) {
      this->ReadNext();
    }
  });
}

KindWatcher::ReadKind KindWatcher::ChooseReadKind() const {
  const bool has_history =
      this->store.HasHistorySince(this->view.Digest(this->kind).revision);
  if (this->must_list || !has_history) {
    return ReadKind::kFullList;
  }
  const std::int64_t since_list_ms =
      this->clock.MonotonicMs() - this->listed_ms;
  return since_list_ms >= this->options.repair_ms ? ReadKind::kRepair
                                                  : ReadKind::kWatch;
}

void KindWatcher::Send(ReadKind read_kind, std::int64_t wait_ms) {
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
    read.since = this->listed_revision;
  }
  const auto done = this->life.Guarded(
      [this, read](const absl::StatusOr<ObjectList>& answer) {
        this->OnAnswer(read, answer);
      });
  if (read.wait_ms > 0) {
    this->RunAfter(
        read.wait_ms + this->options.overdue_ms,
        [this, number = read.number] { this->RepeatOverdueWatch(number); });
  } else {
    this->TimeOutAfter(this->options.answer_margin_ms);
  }
  if (read_kind == ReadKind::kWatch) {
    this->store.Watch(this->kind, read.since, read.wait_ms, done);
  } else {
    this->store.List(this->kind, read.since, done);
  }
}

void KindWatcher::OnAnswer(const Read& read,
                           const absl::StatusOr<ObjectList>& answer) {
  // This call has timed out and the next one is pending. The items of its late
  // response are applied like offers, without raising the watermark.
  if (!this->pending || read.number != this->reads) {
    if (answer.ok()) {
      this->view.ApplyItems(answer->items);
    }
    return;
  }
  this->pending = false;
  if (!answer.ok()) {
    this->OnFailure(answer.status());
    return;
  }
  this->state.last_answer_unix_ms = this->clock.WallMs();
  if (this->on_answered) {
    this->on_answered();
  }
  this->ApplyResponse(read, *answer);
}

void KindWatcher::ApplyResponse(const Read& read, const ObjectList& list) {
  const Confirmation confirmation = {this->ConfirmedAt(read, list),
                                     this->options.host};
  // A list of a new era is complete: it does not follow the revision that was
  // asked for.
  const bool is_same_era = EraOf(read.since) == EraOf(list.revision);
  const std::int64_t since = is_same_era ? read.since : 0;
  if (!this->view.ApplyList(this->kind, since, list, confirmation)) {
    ++this->state.stale_reads;
    LogLine("stale-read")
        .Add("kind", this->kind)
        .Add("read", RevisionText(list.revision))
        .Add("known", RevisionText(this->view.Digest(this->kind).revision))
        .Add("in_a_row", this->state.failures + 1)
        .Write();
    this->OnFailure(absl::UnavailableError("stale read"));
    return;
  }
  this->RecordSkipped(list.passed_over);
  this->state.failures = 0;
  this->read_requested = false;
  this->SetStalled(false, "answered");
  if (read.kind == ReadKind::kWatch) {
    this->malformed = 0;
  } else {
    this->must_list = false;
    this->listed_revision = list.revision;
    this->listed_ms = read.sent_ms;
  }
  const std::int64_t stagger_ms =
      this->options.stagger_ms ? this->options.stagger_ms() : 0;
  this->RunAfter(this->options.pace_ms + stagger_ms,
                 [this] { this->ReadNext(); });
}

void KindWatcher::OnFailure(const absl::Status& status) {
  // After a malformed response, a watch from the same revision would return the
  // same malformed objects, so the next call is a list.
  const ErrorId id = DetailOf(status).id;
  const bool is_malformed = id == ErrorId::kStoreMalformed;
  this->malformed += is_malformed ? 1 : 0;
  this->must_list =
      this->must_list || is_malformed || id == ErrorId::kStoreRevisionGone;
  ++this->state.failures;
  this->SetStalled(true, absl::StrCat(status.message()));
  this->RunAfter(this->Backoff(), [this] { this->ReadNext(); });
}

// A call on another connection shows whether the store or only the connection
// has stalled. A late response to the first call is still applied.
void KindWatcher::RepeatOverdueWatch(std::uint64_t number) {
  if (!this->pending || number != this->reads) {
    return;
  }
  LogLine("watch-overdue").Add("kind", this->kind).WriteImportant();
  this->Send(ReadKind::kWatch, 0);
  this->TimeOutAfter(this->options.answer_margin_ms - this->options.overdue_ms);
}

void KindWatcher::TimeOutAfter(std::int64_t delay_ms) {
  this->RunAfter(delay_ms,
                 [this, number = this->reads] { this->TimeOut(number); });
}

// The store should complete every call in time. If a call is lost, the timeout
// keeps the view from stalling forever.
void KindWatcher::TimeOut(std::uint64_t number) {
  if (!this->pending || number != this->reads) {
    return;
  }
  this->pending = false;
  this->OnFailure(absl::DeadlineExceededError("call timed out"));
}

void KindWatcher::SetStalled(bool stalled, std::string_view why) {
  if (this->state.stalled == stalled) {
    return;
  }
  this->state.stalled = stalled;
  LogLine line("watch");
  line.Add("kind", this->kind).Add("stalled", stalled ? "yes" : "no");
  line.Add("why", why)
      .Add("revision", RevisionText(this->view.Digest(this->kind).revision));
  line.WriteImportant();
}

// The log is rate-limited: a skipped object is returned by every list, and by
// watches whenever it is rewritten, which may be at each heartbeat.
void KindWatcher::RecordSkipped(std::int64_t count) {
  this->state.skipped_objects += count;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const bool is_due = this->skipped_logged_ms < 0 ||
                      now_ms - this->skipped_logged_ms >= kSkippedLogIntervalMs;
  if (count > 0 && is_due) {
    this->skipped_logged_ms = now_ms;
    LogLine("objects-passed-over")
        .Add("kind", this->kind)
        .Add("now", count)
        .Add("since_start", this->state.skipped_objects)
        .WriteImportant();
  }
}

// The time of the read is known only as a lower bound. A list was read after it
// was sent; a watch that ended without changes, after its whole wait time.
std::int64_t KindWatcher::ConfirmedAt(const Read& read,
                                      const ObjectList& list) const {
  const std::int64_t took_ms = this->clock.MonotonicMs() - read.sent_ms;
  const bool wait_elapsed = read.kind == ReadKind::kWatch &&
                            list.items.empty() && took_ms >= read.wait_ms;
  return read.sent_wall_ms + (wait_elapsed ? read.wait_ms : 0);
}

std::int64_t KindWatcher::Backoff() {
  constexpr int kMaxDoublings = 20;
  const int consecutive_failures =
      std::max(this->state.failures, this->malformed);
  const int doublings = std::min(consecutive_failures - 1, kMaxDoublings);
  const std::int64_t backoff_ms = this->options.first_backoff_ms << doublings;
  return this->Jitter(std::min(backoff_ms, this->options.most_backoff_ms));
}

// From 0.5 to 1.5 times the delay, so that hosts that failed together retry at
// different times.
std::int64_t KindWatcher::Jitter(std::int64_t delay_ms) {
  std::uniform_int_distribution<std::int64_t> spread(0, delay_ms);
  return delay_ms / 2 + spread(this->random);
}

void KindWatcher::RunAfter(std::int64_t delay_ms,
                           const std::function<void()>& task) {
  this->scheduler.After(delay_ms, this->life.Guarded(task));
}

std::vector<KindWithOptions> WithSameOptions(
    std::span<const std::string_view> kinds, const WatcherOptions& options) {
  std::vector<KindWithOptions> result;
  for (const std::string_view kind : kinds) {
    result.push_back({kind, options, {}});
  }
  return result;
}

ViewWatcher::ViewWatcher(std::span<const KindWithOptions> kinds,
                         ObjectStore& store, ReplicatedView& view,
                         Scheduler& scheduler, const Clock& clock,
                         const std::function<bool()>& is_watcher)
    : store(store) {
  std::uint64_t number = 0;
  for (const KindWithOptions& config : kinds) {
    WatcherOptions own = config.options;
    own.seed += ++number;
    this->watchers.push_back(std::make_unique<KindWatcher>(
        config.kind, store, view, scheduler, clock, own,
        config.is_watcher ? config.is_watcher : is_watcher));
  }
}

void ViewWatcher::Start() {
  for (const std::unique_ptr<KindWatcher>& watcher : this->watchers) {
    watcher->Start();
  }
  this->store.OnNewEra([this] {
    for (const std::unique_ptr<KindWatcher>& watcher : this->watchers) {
      watcher->ReadAnew();
    }
  });
}

void ViewWatcher::RequestRead(std::string_view kind) {
  for (const auto& watcher : this->watchers) {
    if (watcher->State().kind == kind) {
      watcher->RequestRead();
    }
  }
}

void ViewWatcher::OnAnswered(const std::function<void()>& callback) {
  for (const auto& watcher : this->watchers) {
    watcher->OnAnswered(callback);
  }
}

std::vector<WatcherState> ViewWatcher::States() const {
  std::vector<WatcherState> states;
  for (const std::unique_ptr<KindWatcher>& watcher : this->watchers) {
    states.push_back(watcher->State());
  }
  return states;
}

}  // namespace meadowthread
