#ifndef MEADOWTHREAD_STANDINS_ENGINE_TOKEN_EVENTS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_TOKEN_EVENTS_H_

#include <cstdint>
#include <string>

#include "engine/engine_faults.h"
#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief Formats a generation's server-sent events for one reader, with
/// injected faults; does no I/O.
class TokenEvents {
 public:
  /// @param[in] from index of the first token to send
  TokenEvents(Generation* generation, std::int64_t from);

  /// @brief The `start` event.
  std::string StartEvent() const;

  /// @brief Appends the new tokens and, after the end, the final event.
  /// @param[in,out] count the engine's token events so far; faults hit each
  /// n-th of them
  /// @complexity the number of new tokens
  void AppendNew(const EngineFaults& faults, std::int64_t* count,
                 std::string* out);

  /// @brief Whether AppendNew would append anything.
  bool HasNew() const {
    return this->next_index < this->generation->generated ||
           !this->generation->IsActive();
  }

  /// @brief Whether the final event has been appended.
  bool IsOver() const { return this->over; }

 private:
  void AppendToken(std::int64_t index, std::string* out) const;
  void AppendEnd(std::string* out);

  Generation* generation;
  std::int64_t next_index;
  std::string data_start;  ///< constant start of each token's data line
  std::string held_back;   ///< event to send after its successor
  bool over = false;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_TOKEN_EVENTS_H_
