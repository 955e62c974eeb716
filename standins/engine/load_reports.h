#ifndef MEADOWTHREAD_STANDINS_ENGINE_LOAD_REPORTS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_LOAD_REPORTS_H_

#include <cstdint>
#include <deque>

#include "engine/engine_model.h"

namespace meadowthread::standins {

/// @brief An engine's load as of a time.
struct LoadReport {
  std::int64_t as_of_ms = 0;
  EngineLoad load;
};

/// @brief Gives load reports that lag; pure.
class LoadReports {
 public:
  explicit LoadReports(std::int64_t lag_ms) : lag_ms(lag_ms) {}

  /// @brief Notes the load; often enough for the lag to be smooth.
  void Note(const EngineLoad& load, std::int64_t now_ms);

  /// @brief The newest report that is old enough, else the oldest there is.
  LoadReport At(std::int64_t now_ms) const;

 private:
  std::int64_t lag_ms;
  std::deque<LoadReport> reports;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_LOAD_REPORTS_H_
