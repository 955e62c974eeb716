#ifndef MEADOWTHREAD_STANDINS_ENGINE_LOAD_REPORTS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_LOAD_REPORTS_H_

#include <cstdint>
#include <deque>

#include "engine/engine_model.h"

namespace meadowthread::standins {

/// @brief An engine's load at a point in time.
struct LoadReport {
  std::int64_t as_of_ms = 0;
  EngineLoad load;
};

/// @brief Delays load reports by a fixed lag; does no I/O.
class LoadReports {
 public:
  explicit LoadReports(std::int64_t lag_ms) : lag_ms(lag_ms) {}

  /// @brief Records the load, unless the last record is less than 20 ms old.
  void Note(const EngineLoad& load, std::int64_t now_ms);

  /// @brief The newest report at least as old as the lag, else the oldest one.
  LoadReport At(std::int64_t now_ms) const;

 private:
  std::int64_t lag_ms;
  std::deque<LoadReport> reports;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_LOAD_REPORTS_H_
