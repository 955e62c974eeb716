#ifndef MEADOWTHREAD_CONFIGURATION_VIEW_WATCHER_H_
#define MEADOWTHREAD_CONFIGURATION_VIEW_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "configuration/replicated_view.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief How a host reads the object store; times in milliseconds.
struct WatcherOptions {
  std::string host;        ///< this host's name, given in confirmations
  std::uint64_t seed = 0;  ///< seed of the jitter; must differ between hosts
  std::int64_t wait_ms = 10'000;  ///< how long a watch call waits for changes
  /// Pause between a response and the next call; limits the call rate during
  /// bursts of changes.
  std::int64_t pace_ms = 200;
  /// Additional pause after a response; none if unset. Spreads the calls of
  /// hosts that get their responses at the same time.
  std::function<std::int64_t()> stagger_ms = {};
  /// Interval of list calls that repair what watches lost.
  std::int64_t repair_ms = 60'000;
  std::int64_t first_backoff_ms = 200;
  std::int64_t most_backoff_ms = 10'000;
  /// A call times out this long after its wait time.
  std::int64_t answer_margin_ms = 5'000;
  /// A watch that is overdue by this long is repeated without waiting, on
  /// another connection, as its own connection may have stalled.
  std::int64_t overdue_ms = 1'000;
  /// How often a host that isn't watching checks whether it has to read.
  std::int64_t idle_ms = 1'000;
  /// If no host has confirmed the view for this long, every host reads the
  /// object store itself.
  std::int64_t self_watch_ms = 30'000;
};

/// @brief Status of the synchronization of one kind.
struct WatcherState {
  std::string kind;
  bool watching = false;         ///< this host reads the object store itself
  bool stalled = false;          ///< reads, but the last call failed
  int failures = 0;              ///< consecutive
  std::int64_t stale_reads = 0;  ///< responses older than the view
  std::int64_t last_answer_unix_ms = 0;  ///< 0: none yet
  /// Objects skipped in responses, as their name or version could not be
  /// parsed.
  std::int64_t skipped_objects = 0;
};

/// @brief Keeps one kind of a view up to date with the object store.
///
/// Lists all objects, then watches from the view's watermark on. As watches may
/// lose events, periodically lists again from the last listed revision.
class KindWatcher {
 public:
  /// @param[in] is_watcher whether this host is to watch now
  KindWatcher(std::string_view kind, ObjectStore& store, ReplicatedView& view,
              Scheduler& scheduler, const Clock& clock,
              const WatcherOptions& options, std::function<bool()> is_watcher);

  /// @brief Starts reading; continues until this object is destroyed.
  void Start();

  /// @brief Makes this host read the object store itself, whether or not it is
  /// a watcher, as a newer state is known to exist there.
  void RequestRead();

  /// @brief Reads at once, as the store has begun a new era. A pending call is
  /// given up.
  void ReadAnew();

  /// @brief Calls `callback` at each successful response, before it is applied.
  void OnAnswered(const std::function<void()>& callback) {
    this->on_answered = callback;
  }

  WatcherState State() const { return this->state; }

 private:
  enum class ReadKind { kFullList, kRepair, kWatch };
  struct Read {
    ReadKind kind = ReadKind::kWatch;
    std::uint64_t number = 0;
    std::int64_t since = 0;
    std::int64_t wait_ms = 0;
    std::int64_t sent_wall_ms = 0;
    std::int64_t sent_ms = 0;
  };

  void ReadNext();
  bool MustRead() const;
  ReadKind ChooseReadKind() const;
  void Send(ReadKind kind, std::int64_t wait_ms);
  void OnAnswer(const Read& read, const absl::StatusOr<ObjectList>& answer);
  void ApplyResponse(const Read& read, const ObjectList& list);
  void OnFailure(const absl::Status& status);
  void RepeatOverdueWatch(std::uint64_t number);
  void TimeOutAfter(std::int64_t delay_ms);
  void TimeOut(std::uint64_t number);
  void SetStalled(bool stalled, std::string_view why);
  void RecordSkipped(std::int64_t count);
  std::int64_t ConfirmedAt(const Read& read, const ObjectList& list) const;
  std::int64_t Backoff();
  std::int64_t Jitter(std::int64_t delay_ms);
  void RunAfter(std::int64_t delay_ms, const std::function<void()>& task);

  std::string kind;
  ObjectStore& store;
  ReplicatedView& view;
  Scheduler& scheduler;
  const Clock& clock;
  WatcherOptions options;
  std::function<bool()> is_watcher;
  std::function<void()> on_answered;
  std::mt19937_64 random;
  WatcherState state;
  std::uint64_t reads = 0;  ///< also the number of the latest call
  bool pending = false;
  bool must_list = true;
  /// Malformed responses since the last good response to a watch; not reset by
  /// the lists in between.
  int malformed = 0;
  bool read_requested = false;  ///< reset by the next response that is applied
  std::int64_t listed_revision = 0;  ///< of the last list, not watch
  std::int64_t listed_ms = 0;
  std::int64_t skipped_logged_ms = -1;  ///< monotonic; -1: never
  Lifetime life;
};

/// @brief A kind with the options for reading it.
struct KindWithOptions {
  std::string_view kind;
  WatcherOptions options;
  /// Whether this host is to watch this kind now; unset: the rule of the
  /// ViewWatcher.
  std::function<bool()> is_watcher = {};
};

/// @brief Gives several kinds the same options.
std::vector<KindWithOptions> WithSameOptions(
    std::span<const std::string_view> kinds, const WatcherOptions& options);

/// @brief Keeps all kinds of a view up to date with the object store.
class ViewWatcher {
 public:
  /// @param[in] is_watcher whether this host is to watch now; only some hosts
  /// watch, and they pass changes on to the others
  ViewWatcher(std::span<const KindWithOptions> kinds, ObjectStore& store,
              ReplicatedView& view, Scheduler& scheduler, const Clock& clock,
              const std::function<bool()>& is_watcher);

  void Start();

  /// @brief As KindWatcher::RequestRead, for one kind.
  void RequestRead(std::string_view kind);

  /// @brief As KindWatcher::OnAnswered, for every kind.
  void OnAnswered(const std::function<void()>& callback);

  std::vector<WatcherState> States() const;

 private:
  ObjectStore& store;
  std::vector<std::unique_ptr<KindWatcher>> watchers;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_VIEW_WATCHER_H_
