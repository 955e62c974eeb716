#ifndef MEADOWTHREAD_SERVE_ENGINE_MONITOR_H_
#define MEADOWTHREAD_SERVE_ENGINE_MONITOR_H_

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
#include "gateway/session_dependencies.h"
#include "hosts/host_directory.h"
#include "policy/fleet_state.h"

namespace meadowthread {

/// @brief Dependencies and poll period of the monitor; all references outlive
/// it.
struct EngineMonitorDependencies {
  const Clock& clock;
  Scheduler& scheduler;
  HostDirectory& hosts;
  EngineClient& client;
  FleetState& fleet;
  std::mt19937_64& random;
  /// Whether new work may be sent to an engine, according to its mark and to
  /// which deployment owns it.
  std::function<bool(std::string_view engine)> may_use;
  std::int64_t period_ms = 500;
};

/// @brief Keeps the policy's view of the engines current. The host list, marks
/// and ownership determine which engines exist and may be used; their load is
/// read by polling their load reports.
class EngineMonitor final : public EngineDirectory {
 public:
  explicit EngineMonitor(const EngineMonitorDependencies& dependencies);

  /// @brief Starts to poll load reports.
  void Start();

  /// @brief Applies the current host list, marks and ownership.
  void Refresh();

  std::optional<EngineAddress> AddressOf(
      std::string_view engine) const override;

  /// @brief The latest report of an engine, or null.
  const LoadReport* ReportOf(std::string_view engine) const;

  /// @brief Number of engines that have reported and may get new work.
  int UsableEngines() const;

  /// @brief Called after each report.
  std::function<void(const LoadReport&)> on_report;

 private:
  void SchedulePoll(const std::string& engine, std::int64_t delay_ms);
  void Poll(const std::string& engine);
  void OnLoadReport(const std::string& engine,
                    const absl::StatusOr<LoadReport>& report);

  struct MonitoredEngine {
    bool listed = false;
    bool polling = false;
    int failures = 0;
    std::optional<LoadReport> report;
  };

  EngineMonitorDependencies dependencies;
  std::map<std::string, MonitoredEngine, std::less<>> engines;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_ENGINE_MONITOR_H_
