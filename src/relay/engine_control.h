#ifndef MEADOWTHREAD_RELAY_ENGINE_CONTROL_H_
#define MEADOWTHREAD_RELAY_ENGINE_CONTROL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief Asks an engine to copy a run's memory to another one.
struct MoveOrder {
  std::string source;  ///< IP:PORT of the engine that has the run
  std::string target;  ///< IP:PORT
  std::string run;     ///< the request's id
  bool stop = false;   ///< the run stops first; else it goes on meanwhile
  std::int64_t limit_ms = 0;  ///< longest wait for the copy
};

/// @brief What became of a move order.
enum class MoveResult {
  kCopied,   ///< the target holds the copy
  kNoRun,    ///< the source has no such run: it ended, or has not begun
  kBusy,     ///< another order about the run is under way
  kNoRoom,   ///< the target has no room, or can't be reached
  kUnknown,  ///< no answer came
};

/// @brief The result's name in log lines.
std::string_view MoveResultName(MoveResult result);

/// @brief The answer to a move order.
struct MoveAnswer {
  MoveResult result = MoveResult::kUnknown;
  std::string handle;       ///< names the copy at its source; empty: none
  std::int64_t events = 0;  ///< of the stream, made up to the copy
  /// Start of the engine that answers, where it tells it; Unix ms.
  std::optional<std::int64_t> started_ms = std::nullopt;
};

/// @brief What an engine tells of itself; it describes the recent past.
struct EngineState {
  bool leaving = false;
  /// Where it tells it; Unix ms.
  std::optional<std::int64_t> started_ms = std::nullopt;
};

/// @brief Calls to model engines beside the requests themselves.
class EngineControl {
 public:
  using MoveDone = std::function<void(const MoveAnswer&)>;
  using StateDone = std::function<void(const absl::StatusOr<EngineState>&)>;

  virtual ~EngineControl() = default;

  virtual void Move(const MoveOrder& order, const MoveDone& done) = 0;

  /// @brief Frees a copy that will not be used, at both of its ends.
  /// @param[in] source IP:PORT of the engine that made it
  virtual void DropCopy(std::string_view source, std::string_view handle) = 0;

  /// @brief Asks an engine for its own state. It costs: only where nobody else
  /// can tell.
  /// @param[in] address IP:PORT
  virtual void ReadState(std::string_view address, const StateDone& done) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ENGINE_CONTROL_H_
