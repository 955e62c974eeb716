#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_FAULTS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_FAULTS_H_

#include <cstdint>
#include <string>

#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief The faults of one engine, set by tests; 0 and "" switch one off.
struct EngineFaults {
  std::int64_t duplicate_every = 0;    ///< each n-th token event comes twice
  std::int64_t reorder_every = 0;      ///< each n-th comes after the next one
  std::int64_t drop_every = 0;         ///< each n-th is left out
  std::int64_t late_ms = 0;            ///< events come that much later
  std::string reject;                  ///< reason for which starts are rejected
  std::int64_t refuse_after_read = 0;  ///< starts still to be closed unanswered
  bool run = false;    ///< whether such a start runs all the same
  bool stall = false;  ///< accepts, computes and sends nothing

  /// @brief Takes over the fields that `change` names; the others stay.
  void Merge(const nlohmann::json& change);
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_FAULTS_H_
