#ifndef MEADOWTHREAD_RELAY_RUN_MOVE_H_
#define MEADOWTHREAD_RELAY_RUN_MOVE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/lifetime.h"
#include "relay/backend_wire.h"
#include "relay/engine_control.h"

namespace meadowthread {

/// @brief Where a move stands.
enum class MoveStep {
  kCopying,   ///< the run goes on while its memory is copied
  kStopping,  ///< the run is being stopped and the rest is copied
  kStopped,   ///< the copy is whole; the source's stream has not ended yet
  kOver,
};

/// @brief How a move ended without a continuation.
enum class MoveEnd {
  kRunEnded,   ///< the run had ended by itself
  kNotMoved,   ///< the run goes on where it is
  kNoRoom,     ///< as above: the target has no room for it, or leaves itself
  kUncertain,  ///< the run may have been stopped, and no copy is known
};

/// @brief Told of a move.
class RunMoveOwner {
 public:
  virtual ~RunMoveOwner() = default;

  /// @brief The run has stopped and can go on at `target` (an engine's key).
  virtual void OnMoveReady(const Continuation& continuation,
                           const std::string& target) = 0;

  /// @brief The move is over without a continuation.
  virtual void OnMoveOver(MoveEnd end) = 0;
};

/// @brief What a move is about.
struct MovePlan {
  std::string run;
  std::string source_address;
  std::string target;  ///< an engine's key
  std::string target_address;
  std::int64_t memory_tokens = 0;  ///< of the run, about
  std::string source = {};         ///< an engine's key
  /// The source's start, where it is known; Unix ms.
  std::optional<std::int64_t> source_started_ms = std::nullopt;
};

/// @brief Carries one run's memory to another engine in two steps: a copy
/// while it runs, then a stop with the small rest.
///
/// The table of its failures stands in docs/design/moving-runs.md.
class RunMove {
 public:
  /// @param[in] control,clock,owner outlive the move
  RunMove(EngineControl& control, const Clock& clock, RunMoveOwner& owner,
          MovePlan plan);
  /// @brief Frees a copy that was not used.
  ~RunMove();
  RunMove(const RunMove&) = delete;
  RunMove& operator=(const RunMove&) = delete;

  void Begin();

  MoveStep Step() const { return this->step; }

  /// @brief Whether the run may have been stopped by this move: its stream's
  /// end is then no failure.
  bool MayHaveStopped() const {
    return this->step == MoveStep::kStopping ||
           this->step == MoveStep::kStopped;
  }

  /// @brief The source's stream has ended before its end.
  void NoteStreamEnded();

  /// @brief An engine has started again: it has neither run nor copy any more.
  /// @param[in] engine the key of its start before
  void NoteStartedAgain(std::string_view engine);

  /// @brief The copy was handed over, or is of no use any more.
  void Forget() { this->handle.clear(); }

  const MovePlan& Plan() const { return this->plan; }
  const std::string& Handle() const { return this->handle; }

 private:
  void Order(bool stop);
  void NoteStart(MoveAnswer* answer);
  void FreeCopy();
  void OnCopied(const MoveAnswer& answer);
  void OnStopped(const MoveAnswer& answer);
  void TellWhenReady();
  void EndWith(MoveEnd end);

  EngineControl& control;
  const Clock& clock;
  RunMoveOwner& owner;
  MovePlan plan;
  MoveStep step = MoveStep::kCopying;
  std::string handle;
  bool target_has_copy = false;
  bool source_gone = false;  ///< it started again
  bool target_gone = false;
  bool stream_ended = false;
  std::int64_t ordered_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RUN_MOVE_H_
