#ifndef MEADOWTHREAD_SERVE_ENGINE_STARTS_H_
#define MEADOWTHREAD_SERVE_ENGINE_STARTS_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "policy/engine_view.h"

namespace meadowthread {

/// @brief Knows each engine's start by its reports.
class EngineStarts {
 public:
  /// @return the incarnation that has ended, where the engine has another now
  std::optional<std::string> Note(const LoadReport& report) {
    std::string& known = this->incarnations[report.engine];
    const bool has_ended = !known.empty() && known != report.incarnation;
    std::string before = std::exchange(known, report.incarnation);
    return has_ended ? std::optional(std::move(before)) : std::nullopt;
  }

 private:
  std::map<std::string, std::string> incarnations;  ///< by engine
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_ENGINE_STARTS_H_
