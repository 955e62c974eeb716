#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_RECORD_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "engine/engine_model.h"
#include "engine/order_book.h"
#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief A start that ran nothing.
struct RefusedStart {
  std::string request;
  std::string workspace;
  std::string reason;
  std::int64_t at_ms = 0;
};

/// @brief How often each kind of call came.
struct EngineCounts {
  std::int64_t starts = 0;
  std::int64_t rejects = 0;
  std::int64_t resumes = 0;
  std::int64_t unknown_resumes = 0;
  std::int64_t cancels = 0;
  std::int64_t load_reads = 0;
};

/// @brief What an engine saw, for tests to check.
struct EngineRecord {
  EngineCounts counts;
  std::vector<RefusedStart> refused;

  /// @brief The record as JSON, with every attempt and order.
  nlohmann::json ToJson(const EngineModel& model,
                        const OrderBook& orders) const;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_RECORD_H_
