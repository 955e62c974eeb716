#ifndef MEADOWTHREAD_POLICY_ENGINE_ALLOCATION_H_
#define MEADOWTHREAD_POLICY_ENGINE_ALLOCATION_H_

#include <functional>
#include <string>

#include "policy/chooser.h"
#include "policy/work.h"

namespace meadowthread {

/// @brief A run that is to be copied off an engine.
struct MoveAsk {
  std::string source;  ///< the engine's key
  WorkItem run;        ///< its prompt_tokens: what is to be copied
};

/// @brief Chooses engines for work, here or by asking the host that hands out
/// places at them.
class EngineAllocation {
 public:
  using Chosen = std::function<void(const Decision& decision)>;

  virtual ~EngineAllocation() = default;

  /// @brief Chooses an engine for new work.
  /// @param[in] chosen called exactly once, maybe before this returns
  virtual void Choose(const WorkItem& work, const Chosen& chosen) = 0;

  /// @brief Whether other hosts hand out places and turns. If not, what waits
  /// for room is queued here, and hosts take their turns at links by what they
  /// tell each other.
  virtual bool IsShared() const = 0;

  /// @brief Asks for a run's turn at the link of the engine that it leaves,
  /// and for the engine that it goes to; only where IsShared.
  /// @param[in] granted called exactly once, with no engine where none can be
  /// had
  virtual void AskMove(const MoveAsk& move, const Chosen& granted) = 0;

  /// @brief The run's copy is over, or was never begun: the next may go.
  virtual void MoveOver(const MoveAsk& move) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ENGINE_ALLOCATION_H_
