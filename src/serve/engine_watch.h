#ifndef MEADOWTHREAD_SERVE_ENGINE_WATCH_H_
#define MEADOWTHREAD_SERVE_ENGINE_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/scheduler.h"
#include "engine/engine_client.h"
#include "gateway/session_parts.h"
#include "hosts/host_directory.h"
#include "policy/fleet_state.h"

namespace meadowthread {

/// @brief What the watch works with; all of it outlives the watch.
struct EngineWatchParts {
  const Clock& clock;
  Scheduler& scheduler;
  HostDirectory& hosts;
  EngineClient& client;
  FleetState& fleet;
  std::mt19937_64& random;
  /// Whether new work may be sent to an engine: its half, its mark.
  std::function<bool(std::string_view engine)> may_use;
  std::int64_t period_ms = 500;
};

/// @brief Keeps the policy's picture of engines: who there is, by the host
/// list and marks, and how loaded they are, by their own reports.
class EngineWatch final : public EngineDirectory {
 public:
  explicit EngineWatch(const EngineWatchParts& parts);

  /// @brief Begins to read load reports.
  void Start();

  /// @brief Takes over the host list, marks and ownership as they are now.
  void Refresh();

  std::optional<EngineAddress> AddressOf(
      std::string_view engine) const override;

  /// @brief The last report of an engine, or null.
  const LoadReport* ReportOf(std::string_view engine) const;

  /// @brief Engines that have reported and may get new work.
  int UsableEngines() const;

  /// @brief Called after each report.
  std::function<void(const LoadReport&)> on_report;

 private:
  void ReadSoon(const std::string& engine, std::int64_t delay_ms);
  void Read(const std::string& engine);
  void Take(const std::string& engine,
            const absl::StatusOr<LoadReport>& report);

  struct Watched {
    bool listed = false;
    bool reading = false;
    int failures = 0;
    std::optional<LoadReport> report;
  };

  EngineWatchParts parts;
  std::map<std::string, Watched, std::less<>> watched;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_ENGINE_WATCH_H_
