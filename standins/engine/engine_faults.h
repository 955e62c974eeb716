#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_FAULTS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_FAULTS_H_

#include <cstdint>
#include <string>

#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief Faults that tests inject into one engine; 0 and "" disable a fault.
struct EngineFaults {
  std::int64_t duplicate_every = 0;    ///< send each n-th token event twice
  std::int64_t reorder_every = 0;      ///< swap each n-th with the next
  std::int64_t drop_every = 0;         ///< omit each n-th
  std::int64_t late_ms = 0;            ///< delay of token events
  std::string reject;                  ///< reason to reject all starts with
  std::int64_t refuse_after_read = 0;  ///< next starts closed unanswered
  bool run = false;    ///< whether those starts run nevertheless
  bool stall = false;  ///< accepts connections, neither computes nor sends

  /// @brief Sets the fields that `change` contains; others are unchanged.
  void Merge(const nlohmann::json& change);
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_FAULTS_H_
