#ifndef MEADOWTHREAD_ANSWER_STREAM_ASSEMBLER_H_
#define MEADOWTHREAD_ANSWER_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine/engine_messages.h"

namespace meadowthread {

/// @brief What is to be done after an event was taken.
enum class AssemblerVerdict {
  kGoOn,      ///< nothing to do
  kDeliver,   ///< take the ready tokens
  kResume,    ///< a token is missing: read the generation anew from NextIndex
  kForeign,   ///< another generation's event: it must not reach the caller
  kComplete,  ///< every token up to the finish is ready or delivered
};

/// @brief Puts one generation's events in order, each token exactly once.
///
/// Pinned to the first generation it is told of; it never takes a token of
/// another one, whatever address that comes from.
class StreamAssembler {
 public:
  /// @param[in] first_index the first token that the caller still lacks
  explicit StreamAssembler(std::int64_t first_index = 0)
      : next_index(first_index) {}

  /// @brief Pins the generation; later ones must be the same.
  AssemblerVerdict OnStarted(std::string_view generation);

  /// @brief Takes a token.
  AssemblerVerdict OnToken(const TokenEvent& token);

  /// @brief Takes the generation's end.
  AssemblerVerdict OnFinished(const GenerationFinish& finish);

  /// @brief The tokens that are in order, each given once.
  std::vector<TokenEvent> TakeReady();

  /// @brief The first index that was not made ready yet.
  std::int64_t NextIndex() const { return this->next_index; }

  const std::string& Generation() const { return this->generation; }
  bool IsPinned() const { return !this->generation.empty(); }
  bool IsComplete() const;
  const std::string& FinishReason() const { return this->finish_reason; }

 private:
  void MoveHeld();
  AssemblerVerdict ReadOn();

  std::string generation;
  std::string finish_reason;
  std::int64_t next_index;
  std::int64_t total = -1;  ///< tokens of the whole generation once known
  std::map<std::int64_t, TokenEvent> held;  ///< tokens that came too early
  std::vector<TokenEvent> ready;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ANSWER_STREAM_ASSEMBLER_H_
