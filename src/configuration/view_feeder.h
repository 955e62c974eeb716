#ifndef MEADOWTHREAD_CONFIGURATION_VIEW_FEEDER_H_
#define MEADOWTHREAD_CONFIGURATION_VIEW_FEEDER_H_

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

/// @brief How a host reads the platform; times in milliseconds.
struct FeederOptions {
  std::string host;               ///< named in confirmations
  std::uint64_t seed = 0;         ///< of the jitter; differs between hosts
  std::int64_t wait_ms = 10'000;  ///< of a watch
  /// Between a watch's answer and the next one: bounds the calls as changes
  /// burst.
  std::int64_t pace_ms = 200;
  /// Further delay after a watch's answer; none where not set. Hosts that are
  /// answered together watch apart again.
  std::function<std::int64_t()> stagger_ms = {};
  /// Between reads that repair what watches lost.
  std::int64_t repair_ms = 60'000;
  std::int64_t first_backoff_ms = 200;
  std::int64_t most_backoff_ms = 10'000;
  /// A call without an answer for this long beyond its wait is given up.
  std::int64_t answer_margin_ms = 5'000;
  /// A watch that is overdue by this is asked again without a wait, by another
  /// connection: its own may have fallen silent.
  std::int64_t overdue_ms = 1'000;
  /// A host that need not watch looks this often whether it now must.
  std::int64_t idle_ms = 1'000;
  /// A view that no host confirmed for this long is read by every host.
  std::int64_t self_watch_ms = 30'000;
};

/// @brief How the feeding of one kind goes.
struct FeederState {
  std::string kind;
  bool watching = false;  ///< reads the platform itself
  bool stalled = false;   ///< reads it, but the last call brought nothing
  int failures = 0;       ///< in a row
  std::int64_t stale_reads = 0;          ///< answers older than what is known
  std::int64_t last_answer_unix_ms = 0;  ///< 0: none yet
  /// Objects in answers that were passed over, as they name nothing.
  std::int64_t passed_over = 0;
};

/// @brief Keeps one kind of a view fresh from the object API.
///
/// Lists, then watches from the view's watermark on, and reads again from the
/// last proved revision from time to time, as watches may lose events.
class KindFeeder {
 public:
  /// @param[in] is_watcher whether this host shall watch now
  KindFeeder(std::string_view kind, ObjectStore& store, ReplicatedView& view,
             Scheduler& scheduler, const Clock& clock,
             const FeederOptions& options, std::function<bool()> is_watcher);

  /// @brief Starts reading; goes on until this is destroyed.
  void Start();

  /// @brief Something newer is known to be there: this host reads it itself,
  /// whether or not it is one that watches.
  void Hurry();

  /// @brief Calls `told` at each answer, before it is taken over.
  void OnAnswered(const std::function<void()>& told) { this->answered = told; }

  FeederState State() const { return this->state; }

 private:
  enum class ReadKind { kWhole, kRepair, kWatch };
  struct Read {
    ReadKind kind = ReadKind::kWatch;
    std::uint64_t number = 0;
    std::int64_t since = 0;
    std::int64_t wait_ms = 0;
    std::int64_t sent_wall_ms = 0;
    std::int64_t sent_ms = 0;
  };

  void Next();
  bool MustRead() const;
  ReadKind Choose() const;
  void Send(ReadKind kind, std::int64_t wait_ms);
  void Answered(const Read& read, const absl::StatusOr<ObjectList>& answer);
  void Take(const Read& read, const ObjectList& list);
  void Failed(const absl::Status& status);
  void LookAgain(std::uint64_t number);
  void GiveUpAfter(std::int64_t delay_ms);
  void GiveUp(std::uint64_t number);
  void SetStalled(bool stalled, std::string_view why);
  void NotePassedOver(std::int64_t count);
  std::int64_t ConfirmedAt(const Read& read, const ObjectList& list) const;
  std::int64_t Backoff();
  std::int64_t Jitter(std::int64_t delay_ms);
  void Later(std::int64_t delay_ms, const std::function<void()>& task);

  std::string kind;
  ObjectStore& store;
  ReplicatedView& view;
  Scheduler& scheduler;
  const Clock& clock;
  FeederOptions options;
  std::function<bool()> is_watcher;
  std::function<void()> answered;
  std::mt19937_64 random;
  FeederState state;
  std::uint64_t reads = 0;  ///< the number of the call awaited, if any
  bool pending = false;
  bool must_list = true;
  int malformed = 0;     ///< answers in a row to watches, lists between them
  bool hurried = false;  ///< until the next answer that is taken
  std::int64_t proved_revision = 0;  ///< what lists, not watches, have shown
  std::int64_t proved_ms = 0;
  std::int64_t passed_told_ms = -1;  ///< monotonic; -1: not yet
  Lifetime life;
};

/// @brief A kind with the way it is read.
struct FedKind {
  std::string_view kind;
  FeederOptions options;
  /// Whether this host shall watch this kind now; not set: as the others.
  std::function<bool()> is_watcher = {};
};

/// @brief Several kinds that are read alike.
std::vector<FedKind> FedAlike(std::span<const std::string_view> kinds,
                              const FeederOptions& options);

/// @brief Keeps a view's kinds fresh.
class ViewFeeder {
 public:
  /// @param[in] is_watcher whether this host shall watch now; some hosts do,
  /// and all tell each other
  ViewFeeder(std::span<const FedKind> kinds, ObjectStore& store,
             ReplicatedView& view, Scheduler& scheduler, const Clock& clock,
             const std::function<bool()>& is_watcher);

  void Start();

  /// @brief As KindFeeder::Hurry, for one kind.
  void Hurry(std::string_view kind);

  /// @brief As KindFeeder::OnAnswered, for every kind.
  void OnAnswered(const std::function<void()>& told);

  std::vector<FeederState> States() const;

 private:
  std::vector<std::unique_ptr<KindFeeder>> feeders;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_VIEW_FEEDER_H_
