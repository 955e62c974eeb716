#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGER_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGER_H_

#include <cstdint>
#include <functional>
#include <map>
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
#include "exchange/lag_watch.h"
#include "exchange/load_note.h"
#include "exchange/peer_directory.h"
#include "exchange/peer_knowledge.h"
#include "exchange/rpc_channel.h"
#include "exchange/view_sharer.h"

namespace meadowthread {

/// @brief The methods' names on the control port.
inline constexpr std::string_view kExchangeMethod = "exchange";
inline constexpr std::string_view kOfferMethod = "offer";

/// @brief Which host this is, and which life of it.
struct HostIdentity {
  std::string name;
  /// Grows with each start; the start's Unix time in ms serves.
  std::int64_t incarnation = 0;
};

/// @brief Counts since the start, for metrics.
struct ExchangeStats {
  std::int64_t rounds = 0;
  std::int64_t rounds_skipped = 0;  ///< for want of bytes
  std::int64_t calls = 0;           ///< started by this host
  std::int64_t failures = 0;        ///< of these
  std::int64_t served = 0;          ///< answered by this host
  std::int64_t malformed = 0;       ///< refused, and answers not understood
  std::int64_t bytes_out = 0;       ///< bodies
  std::int64_t bytes_in = 0;
  std::int64_t items_taken = 0;
  std::int64_t items_sent = 0;
  int peers_alive = 0;
  int peers_suspected = 0;
};

/// @brief What the exchange works with; all outlive it.
struct ExchangeParts {
  ExchangeSource& source;
  PeerDirectory& directory;
  RpcChannel& channel;
  Scheduler& scheduler;
  const Clock& clock;
};

/// @brief Keeps the host's copies in step with other hosts'.
///
/// Each round asks a few partners: digests go out, what this host lacks comes
/// back, and what the partner lacks is sent after. A change is told a few
/// partners at once, who tell it on.
class Exchanger {
 public:
  Exchanger(const HostIdentity& identity, const ExchangeSettings& settings,
            std::uint64_t seed, const ExchangeParts& parts);
  Exchanger(const Exchanger&) = delete;
  Exchanger& operator=(const Exchanger&) = delete;

  /// @brief Carries load notes too.
  /// @param[in] source gives this host's; outlives this
  /// @param[in] sink is told others'; outlives this
  void CarryLoads(LoadSource* source, LoadSink* sink);

  /// @brief Starts the rounds.
  void Start();

  /// @brief Takes the host list.
  void SetHosts(std::span<const PeerEntry> hosts);

  /// @brief The source learnt something of a kind, from the platform or from
  /// an operator: it is told on.
  void NoteChange(std::string_view kind);

  /// @brief The method `exchange`: a peer's message in, this host's out.
  absl::StatusOr<std::string> Exchange(std::string_view params);

  /// @brief The method `offer`: objects that the platform accepted.
  absl::StatusOr<std::string> Offer(std::string_view params);

  /// @brief Whether some peer answered and knew nothing that isn't known here:
  /// a host that starts while the platform is down may serve from then on.
  bool HasCaughtUp() const { return this->caught_up; }

  ExchangeStats Stats() const;

 private:
  /// Why a call was made.
  enum class CallKind { kRound, kNews, kFollowUp };
  struct OutgoingCall {
    RpcPeer peer;
    CallKind kind = CallKind::kRound;
    int retries = 0;
  };

  // 1. rounds
  void ScheduleRound();
  void RunRound();
  std::vector<ViewPart> DigestsToAsk();

  // 2. news
  void ScheduleNews(std::int64_t delay_ms);
  void TellNews();
  void TellNewsTo(int partners, int retries);
  std::vector<ViewPart> NewsFor(std::string_view peer);

  // 3. calls and messages
  void Send(const OutgoingCall& call, std::vector<ViewPart> views);
  void OnAnswer(const OutgoingCall& call,
                const absl::StatusOr<std::string>& answer);
  void OnFailure(const OutgoingCall& call, ErrorId error);
  void FollowUp(const OutgoingCall& call, const ExchangeMessage& answer,
                const ApplyResult& result);
  std::string Encode(std::string_view peer, std::vector<ViewPart> views);
  void CountOut(std::string_view message);
  ApplyResult Take(const ExchangeMessage& message, bool restarted);
  void Later(std::int64_t delay_ms, const std::function<void()>& task);

  HostIdentity identity;
  ExchangeSettings settings;
  ExchangeParts parts;
  ViewSharer sharer;
  LagWatch lag;
  PeerKnowledge knowledge;
  ExchangeBudget budget;
  std::mt19937_64 random;
  LoadSource* load_source = nullptr;
  LoadSink* load_sink = nullptr;
  std::set<std::string, std::less<>> changed_kinds;  ///< not told yet
  /// The revision of each kind at the last telling.
  std::map<std::string, std::int64_t, std::less<>> told_revisions;
  bool news_scheduled = false;
  bool caught_up = false;
  int calls_in_progress = 0;
  ExchangeStats stats;
  /// Tasks and answers that come after the end find it gone.
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGER_H_
