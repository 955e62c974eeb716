#ifndef MEADOWTHREAD_SERVE_ENGINE_RESTART_DETECTOR_H_
#define MEADOWTHREAD_SERVE_ENGINE_RESTART_DETECTOR_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "policy/engine_view.h"

namespace meadowthread {

/// @brief Detects restarts of engines from the incarnations in their load
/// reports.
class EngineRestartDetector {
 public:
  /// @brief Records the incarnation that a report names.
  /// @return the previous incarnation if the engine has restarted, else nullopt
  std::optional<std::string> Observe(const LoadReport& report) {
    std::string& known = this->incarnations[report.engine];
    const bool has_restarted = !known.empty() && known != report.incarnation;
    std::string previous = std::exchange(known, report.incarnation);
    return has_restarted ? std::optional(std::move(previous)) : std::nullopt;
  }

 private:
  std::map<std::string, std::string> incarnations;  ///< by engine
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_ENGINE_RESTART_DETECTOR_H_
