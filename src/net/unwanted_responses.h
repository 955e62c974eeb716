#ifndef MEADOWTHREAD_NET_UNWANTED_RESPONSES_H_
#define MEADOWTHREAD_NET_UNWANTED_RESPONSES_H_

#include <cstddef>

namespace meadowthread::detail {

/// @brief Bounds what a peer may send before the answer to a request.
///
/// Guards against peers that send interim responses, or responses to other
/// requests, without end.
class UnwantedResponses {
 public:
  /// @return false if the peer has sent too many
  bool AddInterim() { return ++this->interim <= kMaxInterim; }
  /// @return false if the peer has sent too many
  bool AddForeign() { return ++this->foreign <= kMaxForeign; }
  /// @brief Counts body bytes that are discarded.
  /// @return false if the peer has sent too many
  bool AddDiscarded(std::size_t bytes) {
    this->discarded_bytes += bytes;
    return this->discarded_bytes <= kMaxDiscardedBytes;
  }

 private:
  static constexpr int kMaxInterim = 32;
  // Each may be one late answer to an earlier request on the connection.
  static constexpr int kMaxForeign = 8;
  static constexpr std::size_t kMaxDiscardedBytes = std::size_t{8} << 20;

  int interim = 0;
  int foreign = 0;
  std::size_t discarded_bytes = 0;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_UNWANTED_RESPONSES_H_
