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

#include "policy/engine_view.h"
#include "policy/length_model.h"
#include "policy/memory_forecast.h"
#include "policy/prefix_hints.h"
#include "policy/reading_rate.h"
#include "policy/shared_work.h"
#include "policy/string_map.h"
#include "policy/work.h"

namespace meadowthread {

/// @brief A dense number for an engine, valid within one FleetState.
using EngineIndex = std::uint32_t;

/// @brief How a stream ended.
enum class StreamEnd {
  kComplete,  ///< by itself: its length is learnt from
  kCut,       ///< cancelled, lost or refused: nothing is learnt
};

/// @brief What a stream's first event shows of its engine's reading.
struct ReadingSeen {
  std::string engine;
  std::int64_t tokens = 0;   ///< to be read until then when it was sent
  std::int64_t took_ms = 0;  ///< from its sending
};

/// @brief What a FleetState may be set to.
struct FleetOptions {
  /// How long an engine that joins or comes back is filled slowly; 0: at once.
  std::int64_t slow_start_ms = 10'000;
  /// What a peer said longer ago than this is passed over.
  std::int64_t peer_age_ms = 3'000;
};

/// @brief What this host knows of the engines and of its own work on them.
///
/// All times are milliseconds on one scale (Unix time). No clock, no I/O.
class FleetState {
 public:
  /// @param[in] lengths outlives the state
  explicit FleetState(LengthModel& lengths, FleetOptions options = {});

  // ---------------------------------------------------------------- engines

  /// @brief Takes over one line of the host list.
  void SetEngine(const EngineListing& listing, std::int64_t now_ms);

  /// @brief An engine left the host list.
  void RemoveEngine(std::string_view engine);

  /// @brief Takes a load report; one older than the last is passed over.
  void ApplyReport(const LoadReport& report, std::int64_t now_ms);

  /// @brief The engine does not answer or makes no progress: no new work.
  void EngineStalled(std::string_view engine, std::int64_t now_ms);

  /// @brief It answers again: work comes back slowly.
  void EngineBack(std::string_view engine, std::int64_t now_ms);

  /// @brief Takes the part of an engine's recent requests that failed.
  void SetFailureShare(std::string_view engine, double share);

  /// @brief The engine could not be reached: it is a last resort until then.
  /// @param[in] until_ms Unix time
  void SetAside(std::string_view engine, std::int64_t until_ms);

  /// @brief The engine refused a run's copy: it has no memory for it, or leaves
  /// and nobody has told so yet. For a while it is a last resort.
  void NoteNoRoom(std::string_view engine, std::int64_t now_ms);

  /// @brief Says which entry hosts share the engines. Each engine is
  /// preferred by one of them, the same in every host's view.
  /// @param[in] self this host's name
  /// @param[in] hosts all entry hosts' names, this one's included
  /// @complexity O(hosts * engines)
  void SetHosts(std::string_view self, std::span<const std::string> hosts);

  // ------------------------------------------------------------ own streams

  /// @brief A request was sent to an engine.
  void NoteSent(const WorkItem& work, std::string_view engine,
                std::int64_t now_ms);

  /// @brief Told of each first event of an own stream.
  void OnReading(const std::function<void(const ReadingSeen& seen)>& told) {
    this->reading_told = told;
  }

  /// @brief Takes how long another host's stream waited for its first event.
  void ObserveReading(const ReadingSeen& seen) {
    this->reading.Observe(seen.tokens, seen.took_ms);
  }

  /// @brief A stream has got this far.
  /// @param[in] generated tokens in all, not since the last note
  void NoteTokens(std::string_view request, std::int64_t generated,
                  std::int64_t now_ms);

  /// @brief A stream goes on at another engine with its memory.
  void NoteMoved(std::string_view request, std::string_view engine,
                 std::int64_t now_ms);

  /// @brief How many copies of runs this host has on the engine's link now, to
  /// be told to the others: a link carries one after the other.
  void SetCopies(std::string_view engine, int copies);

  /// @brief A stream is over.
  void NoteEnded(std::string_view request, StreamEnd end, std::int64_t now_ms);

  // ------------------------------------------------------- hints and peers

  /// @brief An engine's cache event.
  void NoteCached(std::string_view engine, std::uint64_t prefix, bool stored);

  /// @brief What another entry host says of its work on one engine.
  void NotePeerLoad(const PeerLoad& load, std::int64_t now_ms);

  /// @brief What a peer had on the engine is no longer there.
  void ForgetPeerLoad(std::string_view engine, std::string_view peer);

  /// @brief What to tell the other entry hosts: engines with own work, and
  /// those whose work ended since the last call.
  std::vector<PeerLoad> OwnLoad(std::string_view self, std::int64_t now_ms);

  // ---------------------------------------------------------------- reading

  /// @brief Engines that have the work's model, adapter and version loaded.
  std::span<const EngineIndex> Serving(const WorkItem& work) const;

  /// @brief Engines whose cache may hold the work's prefix.
  std::span<const EngineIndex> PrefixEngines(const WorkItem& work) const;

  /// @brief Whether this host is the one that prefers the engine; true for
  /// all engines while no other host is known.
  bool Preferred(EngineIndex index) const;

  /// @brief The engines that this host prefers; empty while it is alone.
  std::span<const EngineIndex> PreferredEngines() const {
    return this->preferred;
  }

  /// @brief Whether the engine has the work's model, adapter and version.
  bool Serves(EngineIndex index, const WorkItem& work) const;

  const EngineView& View(EngineIndex index) const;

  /// @brief Null where the engine is not known.
  const EngineView* Find(std::string_view engine) const;

  std::size_t EngineCount() const { return this->engines.size(); }

  /// @brief Memory the engine will hold: own streams, peers', and the rest.
  MemoryForecast Forecast(EngineIndex index, std::int64_t now_ms) const;

  /// @brief Prompt tokens that the engine has yet to read, as far as known.
  std::int64_t ReadingTokens(EngineIndex index, std::int64_t now_ms) const;

  /// @brief What other hosts told of their work on the engine.
  std::vector<PeerLoad> PeersAt(std::string_view engine,
                                std::int64_t now_ms) const;

  /// @brief Whether this host or a peer has a copy on the engine's link.
  bool IsLinkBusy(EngineIndex index, std::int64_t now_ms) const;

  /// @brief Requests believed to be on the engine now.
  int InFlight(EngineIndex index, std::int64_t now_ms) const;

  /// @brief The part of the engine's room to be used now, in (0, 1]: less
  /// while it comes back into service.
  double ServiceShare(EngineIndex index, std::int64_t now_ms) const;

  LengthModel& Lengths() const { return this->lengths; }

  /// @brief How fast engines read, as far as own streams have shown.
  const ReadingRate& Reading() const { return this->reading; }

 private:
  struct Stream {
    std::string request;
    LengthKey key;
    std::shared_ptr<const LengthCurve> curve;
    StreamOutlook outlook;
    std::int64_t sent_ms = 0;
    std::int64_t noted_ms = 0;
    /// Prompt tokens read before its first event, its own included; 0: it has
    /// begun, or its memory comes by a copy.
    std::int64_t to_read = 0;
  };

  struct EndedStream {
    std::int64_t ended_ms = 0;
    std::int64_t held = 0;
  };

  struct Engine {
    EngineView view;
    std::vector<std::unique_ptr<Stream>> streams;
    std::vector<EndedStream> ended;  ///< lately, to read reports with
    std::vector<PeerLoad> peers;
    int others_running = 0;  ///< of the last report, own work taken out
    std::int64_t others_kv = 0;
    // Both lag, each behind the other at times: either one is believed.
    bool listed_leaving = false;
    bool reported_leaving = false;
    bool told_peers = false;
    int copies = 0;  ///< of own runs, on its link
    bool preferred = true;
    mutable MemoryForecast cached;
    mutable std::int64_t cached_ms = -1;
  };

  struct StreamPlace {
    EngineIndex engine = 0;
    std::uint32_t position = 0;
  };

  Engine* FindEngine(std::string_view name);
  void DecidePreferred(EngineIndex index);
  Engine& AddEngine(std::string_view name, std::int64_t now_ms);
  EngineIndex FreePlace();
  static std::int64_t OwnReading(const Engine& engine);
  void TakeOwnOut(Engine& engine, std::int64_t now_ms) const;
  void IndexModels(EngineIndex index, const std::vector<ServedModel>& models);
  void Attach(std::unique_ptr<Stream> stream, EngineIndex to,
              std::int64_t now_ms);
  std::unique_ptr<Stream> Detach(StreamPlace place, std::int64_t now_ms);
  void RemoveStream(Engine& engine, std::uint32_t position);
  static void DropOldEnded(Engine& engine, std::int64_t now_ms);
  static std::int64_t HeldBy(const Stream& stream);
  bool IsFresh(const PeerLoad& load, std::int64_t now_ms) const;
  void AddOthers(const Engine& engine, std::int64_t now_ms,
                 MemoryForecast& forecast) const;

  LengthModel& lengths;
  FleetOptions options;
  ReadingRate reading;
  std::function<void(const ReadingSeen& seen)> reading_told;
  std::vector<std::unique_ptr<Engine>> engines;
  StringMap<EngineIndex> by_name;
  StringMap<std::vector<EngineIndex>> by_model;
  StringMap<StreamPlace> streams;
  PrefixHints prefixes;
  std::uint64_t self_hash = 0;
  std::vector<std::uint64_t> host_hashes;
  std::vector<EngineIndex> preferred;
  std::int64_t first_engine_ms = -1;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_FLEET_STATE_H_
