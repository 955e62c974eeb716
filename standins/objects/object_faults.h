#ifndef MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_FAULTS_H_
#define MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_FAULTS_H_

#include <cstdint>

#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief How a fault affects one write.
enum class WriteFate {
  kNormal,
  kAnswerLost,   ///< applied; connection closed without an answer
  kRequestLost,  ///< never applied; connection closed
  kDelayed,      ///< connection closed; applied later
};

/// @brief Faults that tests inject into the object API.
struct ObjectFaults {
  bool down = false;
  bool hang = false;
  bool watch_stall = false;
  std::int64_t slow_ms = 0;
  std::int64_t stale_reads_ms = 0;
  std::int64_t lose_answers = 0;     ///< number of next writes affected
  std::int64_t lose_requests = 0;    ///< number of next writes affected
  std::int64_t delay_writes = 0;     ///< number of next writes affected
  std::int64_t delay_writes_ms = 0;  ///< negative: until `release_delayed`

  /// @brief Sets the fields that `change` contains; others are unchanged.
  void Merge(const nlohmann::json& change);

  /// @brief The fate of the next write; decrements its fault's counter.
  WriteFate NextWrite();
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_FAULTS_H_
