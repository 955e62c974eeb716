#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGER_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "exchange/exchange_budget.h"
#include "exchange/exchange_message.h"
#include "exchange/exchange_settings.h"
#include "exchange/exchange_source.h"
#include "exchange/lag_detector.h"
#include "exchange/load_note.h"
#include "exchange/peer_digest_cache.h"
#include "exchange/peer_directory.h"
#include "exchange/rpc_channel.h"
#include "exchange/view_synchronizer.h"

namespace meadowthread {

/// @brief Names of the JSON-RPC methods on the control port.
inline constexpr std::string_view kExchangeMethod = "exchange";
inline constexpr std::string_view kOfferMethod = "offer";

/// @brief Name of this host, and a number that identifies its process run.
struct HostIdentity {
  std::string name;
  /// Increases with each start, for example the Unix time of the start in ms.
  std::int64_t incarnation = 0;
};

/// @brief Counters since the start, for metrics.
struct ExchangeStats {
  std::int64_t rounds = 0;
  std::int64_t rounds_skipped = 0;  ///< because the byte budget was exhausted
  std::int64_t calls = 0;           ///< started by this host
  std::int64_t failures = 0;        ///< of `calls`
  std::int64_t served = 0;     ///< `exchange` requests answered by this host
  std::int64_t malformed = 0;  ///< invalid requests and responses
  std::int64_t bytes_out = 0;  ///< of message bodies
  std::int64_t bytes_in = 0;
  std::int64_t items_taken = 0;  ///< new objects received
  std::int64_t items_sent = 0;
  int peers_alive = 0;
  int peers_suspected = 0;
};

/// @brief Collaborators of the exchange; all outlive it.
struct ExchangeDependencies {
  ExchangeSource& source;
  PeerDirectory& directory;
  RpcChannel& channel;
  Scheduler& scheduler;
  const Clock& clock;
};

/// @brief Replicates the host's copy of the object store between hosts by
/// anti-entropy rounds and gossip.
///
/// Each round calls a few peers: the request carries digests, the response
/// what this host lacks, and a follow-up call what the peer lacks. A change is
/// also pushed at once to a few peers, which push it on.
class Exchanger {
 public:
  Exchanger(const HostIdentity& identity, const ExchangeSettings& settings,
            std::uint64_t seed, const ExchangeDependencies& parts);
  Exchanger(const Exchanger&) = delete;
  Exchanger& operator=(const Exchanger&) = delete;

  /// @brief Sends and receives load notes with the messages.
  /// @param[in] source of the notes of this host; outlives this
  /// @param[in] sink receives the notes of other hosts; outlives this
  void EnableLoadNotes(LoadSource* source, LoadSink* sink);

  /// @brief Starts the rounds.
  void Start();

  /// @brief Replaces the list of hosts.
  void SetHosts(std::span<const PeerEntry> hosts);

  /// @brief Excludes a kind from pushes, as its changes reach peers by other
  /// means; rounds still exchange it.
  void ExcludeFromPush(std::string_view kind) {
    this->unpushed_kinds.emplace(kind);
  }

  /// @brief To be called when the source got a change of a kind by other means
  /// than the exchange; schedules a push to peers unless the kind is excluded.
  void NoteChange(std::string_view kind);

  /// @brief Schedules a push of a kind's changes, also if it is excluded.
  void Push(std::string_view kind);

  /// @brief Handles the method `exchange`: decodes a peer's message and returns
  /// the response.
  absl::StatusOr<std::string> Exchange(std::string_view params);

  /// @brief Handles the method `offer`: objects that the object store has
  /// accepted.
  absl::StatusOr<std::string> Offer(std::string_view params);

  /// @brief Whether some peer has answered that knew nothing unknown here. From
  /// then on, a host that starts while the object store is down may serve.
  bool HasCaughtUp() const { return this->caught_up; }

  ExchangeStats Stats() const;

 private:
  /// Why a call was made.
  enum class CallKind { kRound, kPush, kFollowUp };
  struct OutgoingCall {
    RpcPeer peer;
    CallKind kind = CallKind::kRound;
    int retries = 0;
  };

  // 1. rounds
  void ScheduleRound();
  void RunRound();
  void SkipRound();
  std::vector<KindUpdate> RequestDigests();

  // 2. pushed changes
  void SchedulePush(std::int64_t delay_ms);
  void PushChanges();
  void PushChangesTo(int partners, int retries);
  std::vector<KindUpdate> ChangesFor(std::string_view peer);

  // 3. calls and messages
  void Send(const OutgoingCall& call, std::vector<KindUpdate> views);
  void OnAnswer(const OutgoingCall& call,
                const absl::StatusOr<std::string>& answer);
  void OnFailure(const OutgoingCall& call, ErrorId error);
  void FollowUp(const OutgoingCall& call, const ExchangeMessage& answer,
                const ApplyResult& result);
  std::string Encode(std::string_view peer, std::vector<KindUpdate> views);
  void CountSent(std::string_view message);
  ApplyResult ApplyMessage(const ExchangeMessage& message, bool restarted);
  void RunAfter(std::int64_t delay_ms, const std::function<void()>& task);

  HostIdentity identity;
  ExchangeSettings settings;
  ExchangeDependencies parts;
  ViewSynchronizer synchronizer;
  LagDetector lag;
  PeerDigestCache peer_digests;
  ExchangeBudget budget;
  std::mt19937_64 random;
  LoadSource* load_source = nullptr;
  LoadSink* load_sink = nullptr;
  std::set<std::string, std::less<>> unpushed_kinds;
  std::set<std::string, std::less<>> changed_kinds;  ///< not pushed yet
  /// The revision of each kind at the last push.
  std::map<std::string, std::int64_t, std::less<>> pushed_revisions;
  bool push_scheduled = false;
  bool caught_up = false;
  int calls_in_progress = 0;
  std::optional<std::int64_t> skip_logged_ms;  ///< monotonic
  ExchangeStats stats;
  /// Keeps tasks and responses from using this object after its destruction.
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGER_H_
