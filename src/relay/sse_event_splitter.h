#ifndef MEADOWTHREAD_RELAY_SSE_EVENT_SPLITTER_H_
#define MEADOWTHREAD_RELAY_SSE_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief One complete server-sent event, with its bytes unchanged.
struct RawSseEvent {
  std::string bytes;     ///< including the blank line that ends it
  std::int64_t id = -1;  ///< -1: no id field, or not a number
  bool has_data = false;
};

/// @brief Splits a byte stream into complete server-sent events without
/// changing a byte.
class SseEventSplitter {
 public:
  /// @param[in] limit_bytes largest size of one event
  explicit SseEventSplitter(std::size_t limit_bytes)
      : limit_bytes(limit_bytes) {}

  /// @brief Adds received bytes and appends the events that they complete.
  /// @return false if an event exceeds the size limit; the stream can't be used
  /// any further
  bool Feed(std::string_view bytes, std::vector<RawSseEvent>* events);

  /// @brief The bytes received so far of an incomplete event.
  const std::string& Rest() const { return this->rest; }

  /// @brief Discards the incomplete event, as another engine sends it again.
  void DropRest() { this->rest.clear(); }

 private:
  std::size_t limit_bytes;
  std::string rest;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_SSE_EVENT_SPLITTER_H_
