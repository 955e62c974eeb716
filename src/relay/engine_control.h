#ifndef MEADOWTHREAD_RELAY_ENGINE_CONTROL_H_
#define MEADOWTHREAD_RELAY_ENGINE_CONTROL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief Request to an engine to copy the KV cache of a run to another engine.
struct MoveOrder {
  std::string source;  ///< IP:PORT of the engine that has the run
  std::string target;  ///< IP:PORT
  std::string run;     ///< request ID
  /// Stop the run before the copy; if false, the run continues during the copy.
  bool stop = false;
  std::int64_t limit_ms = 0;  ///< time limit of the copy
};

/// @brief Result of a move order.
enum class MoveResult {
  kCopied,   ///< the target has the copy
  kNoRun,    ///< the source has no such run: it has ended or not begun
  kBusy,     ///< another order for this run is in progress
  kNoRoom,   ///< the target has no room or can't be reached
  kUnknown,  ///< no answer arrived
};

/// @brief The name of the result in log lines.
std::string_view MoveResultName(MoveResult result);

/// @brief An engine's answer to a move order.
struct MoveAnswer {
  MoveResult result = MoveResult::kUnknown;
  std::string handle;       ///< identifies the copy at the source; empty: none
  std::int64_t events = 0;  ///< events of the stream generated up to the copy
  /// Start time of the answering engine as Unix ms, if stated.
  std::optional<std::int64_t> started_ms = std::nullopt;
};

/// @brief What an engine reports about itself; it may be slightly out of date.
struct EngineState {
  bool leaving = false;
  /// Start time as Unix ms, if stated.
  std::optional<std::int64_t> started_ms = std::nullopt;
};

/// @brief Control calls to model engines, separate from the requests that they
/// serve.
class EngineControl {
 public:
  using MoveDone = std::function<void(const MoveAnswer&)>;
  using StateDone = std::function<void(const absl::StatusOr<EngineState>&)>;

  virtual ~EngineControl() = default;

  /// @brief Orders an engine to copy a run.
  /// @param[in] done called once with the answer
  virtual void Move(const MoveOrder& order, const MoveDone& done) = 0;

  /// @brief Frees an unused copy at the source and at the target.
  /// @param[in] source IP:PORT of the engine that made it
  virtual void DropCopy(std::string_view source, std::string_view handle) = 0;

  /// @brief Asks an engine for its state. Each call adds load to the engine, so
  /// it is only to be used if no other source has the information.
  /// @param[in] address IP:PORT
  virtual void ReadState(std::string_view address, const StateDone& done) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ENGINE_CONTROL_H_
