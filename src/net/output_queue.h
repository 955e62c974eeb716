#ifndef MEADOWTHREAD_NET_OUTPUT_QUEUE_H_
#define MEADOWTHREAD_NET_OUTPUT_QUEUE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "base/shared_bytes.h"

namespace meadowthread {

/// @brief Bytes that wait to be sent on a connection, in pieces whose memory is
/// freed as soon as they are sent.
class OutputQueue {
 public:
  /// @brief Appends a copy of the bytes.
  void Append(std::string_view bytes);

  /// @brief Appends the bytes without copying them, unless they are few.
  void AppendShared(const SharedBytes& bytes);

  /// @brief The next bytes to send; empty only if the queue is.
  std::string_view Front() const;

  /// @brief Removes sent bytes.
  /// @param[in] count at most the size of Front()
  void Consume(std::size_t count);

  std::size_t Size() const { return this->size; }
  void Clear();

 private:
  struct Piece {
    std::string copied;
    SharedBytes shared;  ///< used if not empty
    std::string_view View() const {
      return this->shared.IsEmpty() ? this->copied : this->shared.Str();
    }
  };

  std::deque<Piece> pieces;
  std::size_t sent_of_first = 0;
  std::size_t size = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_OUTPUT_QUEUE_H_
