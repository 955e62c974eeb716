#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_RECORD_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "engine/engine_model.h"
#include "engine/order_log.h"
#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief A start request that was refused, so that nothing ran.
struct RefusedStart {
  std::string request;
  std::string workspace;
  std::string reason;
  std::int64_t at_ms = 0;
};

/// @brief Number of calls received, by kind.
struct EngineCounts {
  std::int64_t starts = 0;
  std::int64_t rejects = 0;
  std::int64_t resumes = 0;
  std::int64_t unknown_resumes = 0;
  std::int64_t cancels = 0;
  std::int64_t load_reads = 0;
};

/// @brief Calls and orders that an engine received, for tests to check.
struct EngineRecord {
  EngineCounts counts;
  std::vector<RefusedStart> refused;

  /// @brief The record as JSON, including every attempt and order.
  nlohmann::json ToJson(const EngineModel& model, const OrderLog& orders) const;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_RECORD_H_
