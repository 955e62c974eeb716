#ifndef MEADOWTHREAD_ANSWER_STREAM_ASSEMBLER_H_
#define MEADOWTHREAD_ANSWER_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine/engine_messages.h"

namespace meadowthread {

/// @brief What the caller of StreamAssembler has to do after an event.
enum class AssemblerAction {
  kContinue,         ///< nothing
  kDeliver,          ///< deliver the tokens of TakeReady
  kResume,           ///< a token is missing: resume the stream from NextIndex
  kOtherGeneration,  ///< event of another generation: it must not reach the
                     ///< caller
  kComplete,         ///< every token up to the end is ready or delivered
};

/// @brief Puts the events of one generation in order, each token exactly once.
///
/// The first start event sets the generation. Tokens of any other generation
/// are rejected, even if they come from the same engine address.
class StreamAssembler {
 public:
  /// @param[in] first_index index of the first token that the caller lacks
  explicit StreamAssembler(std::int64_t first_index = 0)
      : next_index(first_index) {}

  /// @brief Handles a start event: the first one sets the generation, which
  /// later ones must repeat.
  AssemblerAction OnStarted(std::string_view generation);

  /// @brief Handles a token, which may be a duplicate or out of order.
  AssemblerAction OnToken(const TokenEvent& token);

  /// @brief Handles the generation's finish event.
  AssemblerAction OnFinished(const GenerationFinish& finish);

  /// @brief Removes and returns the tokens that are ready, in order.
  std::vector<TokenEvent> TakeReady();

  /// @brief Index of the first token that is not ready yet.
  std::int64_t NextIndex() const { return this->next_index; }

  const std::string& Generation() const { return this->generation; }
  bool IsPinned() const { return !this->generation.empty(); }
  bool IsComplete() const;
  const std::string& FinishReason() const { return this->finish_reason; }

 private:
  void MoveConsecutiveTokens();
  AssemblerAction RequestResume();

  std::string generation;
  std::string finish_reason;
  std::int64_t next_index;
  std::int64_t total_tokens = -1;  ///< of the whole generation; -1: not known
  /// Tokens that arrived before one with a lower index, by index.
  std::map<std::int64_t, TokenEvent> out_of_order;
  std::vector<TokenEvent> ready;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ANSWER_STREAM_ASSEMBLER_H_
