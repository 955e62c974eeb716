#ifndef MEADOWTHREAD_POLICY_FLEET_STATE_H_
#define MEADOWTHREAD_POLICY_FLEET_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/engine_speeds.h"
#include "policy/engine_view.h"
#include "policy/length_model.h"
#include "policy/memory_forecast.h"
#include "policy/peer_load.h"
#include "policy/prefill_rate.h"
#include "policy/prefix_hints.h"
#include "policy/string_map.h"
#include "policy/token_gap_sampler.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief Dense index of an engine, valid within one FleetState.
using EngineIndex = std::uint32_t;

/// @brief How a stream ended.
enum class StreamEnd {
  kComplete,  ///< finished normally: its output length is learned
  kCut,       ///< cancelled, lost or refused: nothing is learned
};

/// @brief A measurement of an engine's prefill speed, taken at a stream's first
/// event.
struct PrefillObservation {
  std::string engine;
  std::int64_t tokens = 0;  ///< prompt tokens to prefill before the first event
  std::int64_t took_ms = 0;  ///< from sending the request to the first event
};

/// @brief Options of FleetState.
struct FleetOptions {
  /// Duration of the slow start of an engine that joins or returns; 0: no slow
  /// start.
  std::int64_t slow_start_ms = 10'000;
  /// Loads reported by peers are ignored if they are older than this.
  std::int64_t max_peer_age_ms = 3'000;
  /// Measure how fast engines generate. If not, all count as equally fast.
  bool measures_speeds = true;
};

/// @brief This host's knowledge of the engines and of its own requests on them.
///
/// All times are Unix milliseconds. It reads no clock and does no I/O.
class FleetState {
 public:
  /// @param[in] lengths must outlive this object
  explicit FleetState(LengthModel& lengths, FleetOptions options = {});

  // ---------------------------------------------------------------- engines

  /// @brief Adds or updates an engine from its entry in the host list.
  void SetEngine(const EngineListing& listing, std::int64_t now_ms);

  /// @brief Marks an engine that left the host list as gone.
  void RemoveEngine(std::string_view engine);

  /// @brief Applies a load report; ignored if older than the last one applied.
  void ApplyReport(const LoadReport& report, std::int64_t now_ms);

  /// @brief Marks an engine that does not answer or makes no progress; it gets
  /// no new work.
  void EngineStalled(std::string_view engine, std::int64_t now_ms);

  /// @brief Marks a stalled engine as answering again and starts its slow
  /// start.
  void EngineBack(std::string_view engine, std::int64_t now_ms);

  /// @brief Sets the fraction of an engine's recent requests that failed.
  void SetFailureShare(std::string_view engine, double share);

  /// @brief Marks an engine that could not be reached. Until `until_ms` it is
  /// used only if no other engine is available.
  /// @param[in] until_ms Unix time
  void MarkUnreachable(std::string_view engine, std::int64_t until_ms);

  /// @brief Records that an engine refused a KV-cache copy, because it has no
  /// memory for it or because it is leaving and has not yet announced that. For
  /// a short time, the engine is used only if no other is available.
  void NoteCopyRefused(std::string_view engine, std::int64_t now_ms);

  /// @brief Sets the hosts that share the engines. Each engine is preferred by
  /// exactly one host, and all hosts agree on which one. Choosers can reserve
  /// memory of the engine for that host.
  /// @param[in] self this host's name
  /// @param[in] hosts the names of all hosts, including this one
  /// @complexity O(hosts * engines)
  void SetHosts(std::string_view self, std::span<const std::string> hosts);

  // ------------------------------------------------------------ own streams

  /// @brief Records that a request was sent to an engine.
  void NoteSent(const WorkItem& work, std::string_view engine,
                std::int64_t now_ms);

  /// @brief Sets the callback for prefill measurements from this host's
  /// streams.
  void OnPrefillObserved(
      const std::function<void(const PrefillObservation& seen)>& callback) {
    this->prefill_observed = callback;
  }

  /// @brief Sets the callback for capacity of an engine that this host's work
  /// no longer takes: a prompt has been prefilled, or a stream has ended there.
  void OnCapacityFreed(
      const std::function<void(std::string_view engine)>& callback) {
    this->capacity_freed = callback;
  }

  /// @brief Sets the callback for speed measurements from this host's streams.
  void OnSpeedObserved(
      const std::function<void(const SpeedObservation& seen)>& callback) {
    this->speed_observed = callback;
  }

  /// @brief Applies a prefill measurement from another host.
  void ObservePrefill(const PrefillObservation& seen);

  /// @brief Applies a speed measurement from another host; ignored if the
  /// engine is not known or the measurement is not plausible.
  void ObserveSpeed(const SpeedObservation& seen);

  /// @brief Records a stream's progress.
  /// @param[in] generated total number of tokens generated so far
  void NoteTokens(std::string_view request, std::int64_t generated,
                  std::int64_t now_ms);

  /// @brief Records that a stream and its KV cache migrated to another engine.
  void NoteMoved(std::string_view request, std::string_view engine,
                 std::int64_t now_ms);

  /// @brief Sets how many KV-cache copies this host has in progress on the
  /// engine's network link. The number is reported to peers, because a link
  /// carries one copy at a time.
  void SetCopies(std::string_view engine, int copies);

  /// @brief Records that a stream ended.
  void NoteEnded(std::string_view request, StreamEnd end, std::int64_t now_ms);

  // -------------------------------------------------------- hints and peers

  /// @brief Records that an engine's prefix cache stored or evicted a prefix.
  void NoteCached(std::string_view engine, std::uint64_t prefix, bool stored);

  /// @brief Applies a peer's report of its work on one engine.
  void NotePeerLoad(const PeerLoad& load, std::int64_t now_ms);

  /// @brief Removes what a peer reported for an engine.
  void ForgetPeerLoad(std::string_view engine, std::string_view peer);

  /// @brief The loads to report to the other hosts: one for each engine on
  /// which this host has streams, and one for each engine on which its last
  /// streams ended since the last call.
  std::vector<PeerLoad> OwnLoad(std::string_view self, std::int64_t now_ms);

  /// @brief This host's load on one engine, to report to the other hosts.
  /// @param[in] engine must be known
  PeerLoad OwnLoadAt(std::string_view self, std::string_view engine,
                     std::int64_t now_ms) const;

  // ---------------------------------------------------------------- queries

  /// @brief Engines that have the work's model, adapter and version loaded.
  std::span<const EngineIndex> Serving(const WorkItem& work) const;

  /// @brief Engines whose prefix cache may hold the work's prefix.
  std::span<const EngineIndex> EnginesWithPrefix(const WorkItem& work) const;

  /// @brief Whether this host is the one that prefers the engine; always true
  /// while no other host is known.
  bool IsPreferred(EngineIndex index) const;

  /// @brief The engines that this host prefers; empty while no other host is
  /// known.
  std::span<const EngineIndex> PreferredEngines() const {
    return this->preferred;
  }

  /// @brief Whether the engine has the work's model, adapter and version
  /// loaded.
  bool Serves(EngineIndex index, const WorkItem& work) const;

  /// @brief The engine's view.
  const EngineView& View(EngineIndex index) const;

  /// @brief The engine's index; nullopt if the engine is not known.
  std::optional<EngineIndex> IndexOf(std::string_view engine) const;

  /// @brief The engine's view; null if the engine is not known.
  const EngineView* Find(std::string_view engine) const;

  /// @brief Number of engine slots, including those of engines that are gone.
  std::size_t EngineCount() const { return this->engines.size(); }

  /// @brief Forecast of the engine's KV-cache use by own streams, peers'
  /// streams and the streams known only from its load report.
  MemoryForecast Forecast(EngineIndex index, std::int64_t now_ms) const;

  /// @brief Known prompt tokens that the engine has yet to prefill.
  std::int64_t PrefillBacklog(EngineIndex index, std::int64_t now_ms) const;

  /// @brief The loads that other hosts reported for the engine, outdated ones
  /// included.
  std::span<const PeerLoad> PeerLoads(EngineIndex index) const {
    return this->engines[index]->peers;
  }

  /// @brief Whether a load reported by a peer still counts.
  bool IsFresh(const PeerLoad& load, std::int64_t now_ms) const;

  /// @brief Age of the oldest load that a peer reported for the engine and that
  /// counts; -1 if there is none.
  std::int64_t PeerLoadAgeMs(EngineIndex index, std::int64_t now_ms) const;

  /// @brief The loads that other hosts reported for the engine, without
  /// outdated and empty ones.
  std::vector<PeerLoad> PeersAt(std::string_view engine,
                                std::int64_t now_ms) const;

  /// @brief Whether this host or a peer has a KV-cache copy in progress on the
  /// engine's link.
  bool IsLinkBusy(EngineIndex index, std::int64_t now_ms) const;

  /// @brief Estimated number of requests on the engine now.
  int InFlight(EngineIndex index, std::int64_t now_ms) const;

  /// @brief The fraction of the engine's memory that may be used now, in (0,
  /// 1]; below 1 during its slow start.
  double SlowStartShare(EngineIndex index, std::int64_t now_ms) const;

  /// @brief The model of output lengths that this state learns and uses.
  LengthModel& Lengths() const { return this->lengths; }

  /// @brief The prefill speed learned from first events.
  const PrefillRate& Prefill() const { return this->prefill_rate; }

  /// @brief Expected time in which the engine prefills so many tokens.
  double PrefillMs(EngineIndex index, std::int64_t tokens) const {
    return this->prefill_rate.ExpectedMs(tokens) *
           this->speeds.RelativeTime(index);
  }

  /// @brief The engine's time per token divided by the median engine's; 1 if
  /// nothing is known of it.
  double RelativeTimeOf(std::string_view engine) const;

  /// @brief How fast the engines generate.
  const EngineSpeeds& Speeds() const { return this->speeds; }

 private:
  struct Stream {
    std::string request;
    LengthKey key;
    std::shared_ptr<const LengthSurvivalCurve> curve;
    StreamProgress progress;
    std::int64_t sent_ms = 0;
    std::int64_t progress_ms = 0;
    /// Prompt tokens that the engine has to prefill before the stream's first
    /// event, including its own prompt; 0: the first event has arrived, or the
    /// KV cache comes from a copy.
    std::int64_t tokens_before_first_event = 0;
    std::int64_t tokens_per_event = 1;
    /// `progress_ms` is the time of an event of its present engine.
    bool had_event_here = false;
  };

  struct RecentlyEndedStream {
    std::int64_t ended_ms = 0;
    std::int64_t kv_held = 0;
  };

  struct Engine {
    EngineView view;
    std::vector<std::unique_ptr<Stream>> streams;
    /// Recently ended streams, which a delayed load report may still include.
    std::vector<RecentlyEndedStream> ended;
    std::vector<PeerLoad> peers;
    /// Streams in the last load report, without this host's own.
    int others_running = 0;
    std::int64_t others_kv = 0;
    // The host list or the load reports may be out of date, so the engine
    // counts as leaving if either of them says so.
    bool listed_leaving = false;
    bool reported_leaving = false;
    bool reported_to_peers = false;
    /// KV-cache copies of this host in progress on the engine's link.
    int copies = 0;
    bool preferred = true;
    TokenGapSampler gaps;  ///< of this host's streams
    mutable MemoryForecast forecast_cache;
    mutable std::int64_t forecast_cached_ms = -1;
  };

  struct StreamLocation {
    EngineIndex engine = 0;
    std::uint32_t position = 0;
  };

  Engine* FindEngine(std::string_view name);
  void UpdatePreferred(EngineIndex index);
  Engine& AddEngine(std::string_view name, std::int64_t now_ms);
  EngineIndex AcquireSlot();
  static std::int64_t OwnPrefillTokens(const Engine& engine);
  static PeerLoad LoadOf(const Engine& engine, std::string_view self,
                         std::int64_t now_ms);
  void ReportFreed(const Engine& engine) const;
  void SampleGap(EngineIndex index, const Stream& stream,
                 std::int64_t generated, std::int64_t now_ms);
  void SubtractOwnWork(Engine& engine, std::int64_t now_ms) const;
  void IndexModels(EngineIndex index, std::string_view service,
                   const std::vector<ServedModel>& models);
  void Attach(std::unique_ptr<Stream> stream, EngineIndex to,
              std::int64_t now_ms);
  std::unique_ptr<Stream> Detach(StreamLocation location, std::int64_t now_ms);
  void RemoveStream(Engine& engine, std::uint32_t position);
  static void RemoveOldEnded(Engine& engine, std::int64_t now_ms);
  static std::int64_t KvHeldBy(const Stream& stream);
  void AddOtherHostsWork(const Engine& engine, std::int64_t now_ms,
                         MemoryForecast& forecast) const;

  LengthModel& lengths;
  FleetOptions options;
  PrefillRate prefill_rate;
  EngineSpeeds speeds;
  std::function<void(const PrefillObservation& seen)> prefill_observed;
  std::function<void(const SpeedObservation& seen)> speed_observed;
  std::function<void(std::string_view engine)> capacity_freed;
  std::vector<std::unique_ptr<Engine>> engines;
  StringMap<EngineIndex> by_name;
  StringMap<std::vector<EngineIndex>> by_model;  ///< by detail::ModelKey
  StringMap<StreamLocation> streams;
  PrefixHints prefixes;
  std::uint64_t self_hash = 0;
  std::vector<std::uint64_t> host_hashes;
  std::vector<EngineIndex> preferred;
  std::int64_t first_engine_ms = -1;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_FLEET_STATE_H_
