#ifndef MEADOWTHREAD_STANDINS_ENGINE_TOKEN_EVENTS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_TOKEN_EVENTS_H_

#include <cstdint>
#include <string>

#include "engine/engine_faults.h"
#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief Writes one reader's events of a generation; pure.
class TokenEvents {
 public:
  /// @param[in] from index of the first token to send
  TokenEvents(Generation* generation, std::int64_t from);

  /// @brief The `start` event.
  std::string StartEvent() const;

  /// @brief Appends what is new: tokens, and the last event after the end.
  /// @param[in,out] count token events of the engine, by which faults choose
  /// @complexity the number of new tokens
  void AppendNew(const EngineFaults& faults, std::int64_t* count,
                 std::string* out);

  /// @brief Whether AppendNew would append anything.
  bool HasNew() const {
    return this->next_index < this->generation->generated ||
           !this->generation->IsActive();
  }

  /// @brief Whether the last event was appended.
  bool IsOver() const { return this->over; }

 private:
  void AppendToken(std::int64_t index, std::string* out) const;
  void AppendEnd(std::string* out);

  Generation* generation;
  std::int64_t next_index;
  std::string data_start;  ///< the constant part of each token's data line
  std::string held_back;   ///< an event that comes after its successor
  bool over = false;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_TOKEN_EVENTS_H_
