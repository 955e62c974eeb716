#ifndef MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_FAULTS_H_
#define MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_FAULTS_H_

#include <cstdint>

#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief What happens to one write.
enum class WriteFate {
  kNormal,
  kAnswerLost,   ///< takes effect, the connection closes without an answer
  kRequestLost,  ///< never takes effect, the connection closes
  kDelayed,      ///< the connection closes, takes effect later
};

/// @brief The faults of the object API, set by tests.
struct ObjectFaults {
  bool down = false;
  bool hang = false;
  bool watch_stall = false;
  std::int64_t slow_ms = 0;
  std::int64_t stale_reads_ms = 0;
  std::int64_t lose_answers = 0;     ///< writes still to meet this
  std::int64_t lose_requests = 0;    ///< writes still to meet this
  std::int64_t delay_writes = 0;     ///< writes still to meet this
  std::int64_t delay_writes_ms = 0;  ///< negative: until released

  /// @brief Takes over the fields that `change` names; the others stay.
  void Merge(const nlohmann::json& change);

  /// @brief The next write's fate; counts it.
  WriteFate NextWrite();
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_FAULTS_H_
