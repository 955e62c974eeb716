#ifndef MEADOWTHREAD_RELAY_RUN_MOVE_H_
#define MEADOWTHREAD_RELAY_RUN_MOVE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/lifetime.h"
#include "relay/backend_protocol.h"
#include "relay/engine_control.h"

namespace meadowthread {

/// @brief Progress of a move.
enum class MoveStep {
  kCopying,   ///< the run continues while its KV cache is copied
  kStopping,  ///< the run is being stopped and the rest is copied
  /// No copy is in progress any more, whether or not one succeeded; waiting for
  /// the source's stream to end.
  kStopped,
  kOver,
};

/// @brief Why a move ended without a run to continue elsewhere.
enum class MoveEnd {
  kRunEnded,   ///< the run had ended by itself
  kNotMoved,   ///< the run continues at the source
  kNoRoom,     ///< as kNotMoved; the target has no room or is leaving
  kUncertain,  ///< the run may have been stopped, but no copy is known
};

/// @brief Receives the result of a move.
class RunMoveOwner {
 public:
  virtual ~RunMoveOwner() = default;

  /// @brief The run has stopped and can be continued at `target` (an engine's
  /// key; empty: at the source).
  virtual void OnMoveReady(const Continuation& continuation,
                           const std::string& target) = 0;

  /// @brief The move has ended without a run to continue elsewhere.
  virtual void OnMoveOver(MoveEnd end) = 0;
};

/// @brief Parameters of a move.
struct MovePlan {
  std::string run;
  std::string source_address;
  std::string target;  ///< key of the engine
  std::string target_address;
  std::int64_t memory_tokens = 0;  ///< approximate size of the KV cache
  std::string source = {};         ///< key of the engine
  /// Start time of the source as Unix ms, if known.
  std::optional<std::int64_t> source_started_ms = std::nullopt;
};

/// @brief Moves the KV cache of one run to another engine, in two steps: a copy
/// while the run continues, then a stop and a copy of the small remainder.
///
/// The possible failures are listed in docs/design/moving-runs.md.
class RunMove {
 public:
  /// @param[in] control,clock,owner outlive the move
  RunMove(EngineControl& control, const Clock& clock, RunMoveOwner& owner,
          MovePlan plan);
  /// @brief Frees a copy that was not used.
  ~RunMove();
  RunMove(const RunMove&) = delete;
  RunMove& operator=(const RunMove&) = delete;

  /// @brief Orders the first copy.
  void Begin();

  MoveStep Step() const { return this->step; }

  /// @brief Whether this move may have stopped the run; the end of its stream
  /// is then not a failure.
  bool MayHaveStopped() const {
    return this->step == MoveStep::kStopping ||
           this->step == MoveStep::kStopped;
  }

  /// @brief Called when the source's stream has ended before the run was
  /// complete.
  void NoteStreamEnded();

  /// @brief Called when an engine has started again and has lost the run or the
  /// copy that it held.
  /// @param[in] engine the key of its previous start
  void NoteStartedAgain(std::string_view engine);

  /// @brief Forgets the copy without freeing it. To be called if the copy is in
  /// use elsewhere or is of no use any more.
  void Forget() { this->handle.clear(); }

  const MovePlan& Plan() const { return this->plan; }
  const std::string& Handle() const { return this->handle; }

 private:
  void Order(bool stop);
  void CheckSourceStart(MoveAnswer* answer);
  void FreeCopy();
  void OnCopied(const MoveAnswer& answer);
  void OnStopped(const MoveAnswer& answer);
  void FinishIfStreamEnded();
  void EndWith(MoveEnd end);

  EngineControl& control;
  const Clock& clock;
  RunMoveOwner& owner;
  MovePlan plan;
  MoveStep step = MoveStep::kCopying;
  std::string handle;
  bool target_has_copy = false;
  bool source_restarted = false;  ///< the source has started again
  bool target_restarted = false;
  bool stream_ended = false;
  std::int64_t ordered_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RUN_MOVE_H_
