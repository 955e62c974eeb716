#ifndef MEADOWTHREAD_RELAY_STREAM_LIMIT_H_
#define MEADOWTHREAD_RELAY_STREAM_LIMIT_H_

#include <cstddef>
#include <cstdint>

#include "relay/sse_event_splitter.h"

namespace meadowthread {

/// @brief Bounds what an engine may send as the answer to one attempt of a
/// stream, by the tokens that the caller asked for.
///
/// Guards against engines that send events, or comments between events, without
/// end: each of them alone is valid.
class StreamLimit {
 public:
  /// @param[in] max_output_tokens 0: not known
  explicit StreamLimit(std::int64_t max_output_tokens);

  /// @brief Counts an event, also one that is not forwarded.
  /// @return false if the engine has sent more than its answer can have
  bool Add(const RawSseEvent& event);

 private:
  std::int64_t max_events;
  std::size_t max_bytes;
  std::int64_t events = 0;
  std::size_t bytes = 0;
  std::size_t empty_bytes = 0;  ///< since the last event with content
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_STREAM_LIMIT_H_
