#ifndef MEADOWTHREAD_POLICY_ENGINE_VIEW_H_
#define MEADOWTHREAD_POLICY_ENGINE_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/served_model.h"

namespace meadowthread {

/// @brief What the host list says of one engine.
struct EngineListing {
  std::string engine;
  std::string zone;
  bool live = true;
  bool leaving = false;
  /// Unix ms until which the engine works slowly after its start; 0: it does
  /// not.
  std::int64_t warm_at_ms = 0;
  /// Tokens of memory, where the list tells; 0: only reports do.
  std::int64_t kv_capacity = 0;
  /// What is loaded, where the list tells; empty: only reports do.
  std::vector<ServedModel> models = {};
  std::string region = {};
};

/// @brief One load report of an engine; it describes the past.
struct LoadReport {
  std::string engine;
  std::string incarnation;
  std::int64_t as_of_unix_ms = 0;
  int running = 0;
  int waiting = 0;
  std::int64_t kv_used = 0;      ///< tokens
  std::int64_t kv_capacity = 0;  ///< tokens
  std::int64_t preemptions = 0;  ///< since the engine's start
  bool leaving = false;
  std::vector<ServedModel> models;
  std::string role;
};

/// @brief Everything this host believes about one engine.
struct EngineView {
  std::string engine;
  std::string zone;
  std::string region;
  bool live = true;
  bool leaving = false;
  bool stalled = false;  ///< ejected until it answers again
  std::string incarnation;
  std::vector<ServedModel> models;

  // As reported, true at `reported_unix_ms`.
  std::int64_t reported_unix_ms = 0;
  std::int64_t kv_used = 0;
  std::int64_t kv_capacity = 0;
  std::int64_t preemptions = 0;
  int running = 0;
  int waiting = 0;

  // This host's own work, exact.
  int own_in_flight = 0;
  int own_since_report = 0;           ///< sent after the report's time
  std::int64_t own_kv = 0;            ///< tokens held by own streams now
  std::int64_t slow_start_since = 0;  ///< unix ms; 0: in full service
  std::int64_t warm_at_ms = 0;        ///< unix ms; slow until then
  double failure_share = 0.0;         ///< of its recent requests, 0 to 1
  std::int64_t aside_until_ms = 0;    ///< unix ms; could not be reached lately
  std::int64_t no_room_until_ms = 0;  ///< unix ms; refused a copy lately

  /// @brief Whether new work may be sent to it.
  bool Usable() const { return this->live && !this->leaving && !this->stalled; }
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ENGINE_VIEW_H_
