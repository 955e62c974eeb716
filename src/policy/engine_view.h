#ifndef MEADOWTHREAD_POLICY_ENGINE_VIEW_H_
#define MEADOWTHREAD_POLICY_ENGINE_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/served_model.h"

namespace meadowthread {

/// @brief An engine's entry in the host list.
struct EngineListing {
  std::string engine;
  std::string zone;
  bool live = true;
  bool leaving = false;  ///< about to leave the fleet: gets no new work
  /// Unix ms until which the engine is slow after its start; 0: it is not slow.
  std::int64_t warm_at_ms = 0;
  /// KV-cache capacity in tokens; 0: the entry does not state it, and it is
  /// taken from load reports.
  std::int64_t kv_capacity = 0;
  /// Loaded models; empty: the entry does not state them, and they are taken
  /// from load reports.
  std::vector<ServedModel> models = {};
  std::string region = {};
  std::string software_version = {};
  std::string service = {};  ///< empty: engines do not belong to services
};

/// @brief A load report of an engine: its state at `as_of_unix_ms`.
struct LoadReport {
  std::string engine;
  std::string incarnation;
  std::int64_t as_of_unix_ms = 0;
  int running = 0;
  int waiting = 0;
  std::int64_t kv_used = 0;      ///< tokens
  std::int64_t kv_capacity = 0;  ///< tokens
  std::int64_t preemptions = 0;  ///< since the engine started
  bool leaving = false;
  std::vector<ServedModel> models;
  std::string role;
};

/// @brief What this host knows about one engine, from the host list, load
/// reports and its own requests.
struct EngineView {
  std::string engine;
  std::string zone;
  std::string region;
  std::string software_version;
  std::string service;
  bool live = true;
  bool leaving = false;
  bool stalled = false;  ///< gets no new work until it answers again
  std::string incarnation;
  std::vector<ServedModel> models;

  // From the last load report, as of `reported_unix_ms`.
  std::int64_t reported_unix_ms = 0;
  std::int64_t kv_used = 0;
  std::int64_t kv_capacity = 0;
  std::int64_t preemptions = 0;
  int running = 0;
  int waiting = 0;

  // This host's own requests on the engine, always exact.
  int own_in_flight = 0;
  int own_since_report = 0;  ///< sent after `reported_unix_ms`
  std::int64_t own_kv = 0;   ///< KV-cache tokens held by own streams now
  /// Unix ms at which the engine joined, returned or restarted. From then on
  /// its usable memory increases gradually. 0: no slow start.
  std::int64_t slow_start_began_ms = 0;
  /// Unix ms, from the host list; until then the engine itself is slow after
  /// its start.
  std::int64_t warm_at_ms = 0;
  /// Fraction of its recent requests that failed, from 0 to 1.
  double failure_share = 0.0;
  /// Unix ms; avoided until then because it could not be reached.
  std::int64_t unreachable_until_ms = 0;
  /// Unix ms; avoided until then because it refused a KV-cache copy.
  std::int64_t no_room_until_ms = 0;

  /// @brief Whether new work may be sent to the engine.
  bool Usable() const { return this->live && !this->leaving && !this->stalled; }
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ENGINE_VIEW_H_
