#ifndef MEADOWTHREAD_RELAY_ANSWER_MEMORY_H_
#define MEADOWTHREAD_RELAY_ANSWER_MEMORY_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace meadowthread {

class AnswerMemory;

/// @brief Whether bytes could be appended to a held answer.
enum class AppendResult {
  kAppended,
  kTooLong,   ///< the answer exceeds its own limit
  kNoMemory,  ///< it is the longest answer, and the host has no memory left
};

/// @brief The body of an answer that is held in memory until it is complete.
class HeldAnswer {
 public:
  /// @param[in] memory outlives the answer
  /// @param[in] dropped called if the body was released because another answer
  /// needs the memory; the attempt has to end
  HeldAnswer(AnswerMemory& memory, std::function<void()> dropped)
      : memory(memory), dropped(std::move(dropped)) {}
  ~HeldAnswer() { this->Clear(); }
  HeldAnswer(const HeldAnswer&) = delete;
  HeldAnswer& operator=(const HeldAnswer&) = delete;

  /// @brief Appends bytes. May drop other answers.
  /// @param[in] limit_bytes largest size of this answer
  AppendResult Append(std::string_view bytes, std::size_t limit_bytes);

  /// @brief Returns the body and releases its memory.
  std::string Take();

  /// @brief Releases the memory.
  void Clear();

  std::size_t Size() const { return this->body.size(); }

 private:
  friend class AnswerMemory;

  AnswerMemory& memory;
  std::function<void()> dropped;
  std::string body;
};

/// @brief Bounds the memory that all answers held by a host take together.
///
/// If there is not enough, the longest answer is dropped, so that servers whose
/// answers never end don't take the memory of the others.
class AnswerMemory {
 public:
  /// @brief Sets the bound; it applies to bytes that arrive from now on.
  void SetLimit(std::size_t bytes) { this->limit_bytes = bytes; }

  /// @brief Bytes held by all answers.
  std::size_t HeldBytes() const { return this->held_bytes; }

 private:
  friend class HeldAnswer;

  bool Reserve(HeldAnswer& answer, std::size_t bytes);
  void Release(HeldAnswer& answer, std::size_t bytes);
  HeldAnswer* Longest() const;

  std::size_t limit_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t held_bytes = 0;
  std::unordered_set<HeldAnswer*> answers;  ///< those with a body
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ANSWER_MEMORY_H_
