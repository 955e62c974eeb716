#include "relay/stream_limit.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Streams that don't say how many tokens they may have: more than any model
// generates.
constexpr std::int64_t kUnknownMaxTokens = std::int64_t{1} << 17;
// Events without a token, such as the reason why a generation ended.
constexpr std::int64_t kExtraEvents = 16;
// A token may come with its text and the probabilities of many alternatives.
constexpr std::size_t kMaxBytesPerEvent = std::size_t{16} * 1024;
constexpr std::size_t kMaxEmptyBytes = std::size_t{64} * 1024;

// An event has at least one token. The bound keeps the product of events and
// bytes in range, whatever number a caller states.
std::int64_t MaxEvents(std::int64_t max_output_tokens) {
  const std::int64_t tokens =
      max_output_tokens > 0 ? std::min(max_output_tokens, kUnknownMaxTokens)
                            : kUnknownMaxTokens;
  return tokens + kExtraEvents;
}

}  // namespace

StreamLimit::StreamLimit(std::int64_t max_output_tokens)
    : max_events(MaxEvents(max_output_tokens)),
      max_bytes(static_cast<std::size_t>(this->max_events) *
                kMaxBytesPerEvent) {}

bool StreamLimit::Add(const RawSseEvent& event) {
  this->bytes += event.bytes.size();
  const bool is_empty = event.id < 0 && !event.has_data;
  if (is_empty) {
    this->empty_bytes += event.bytes.size();
  } else {
    this->empty_bytes = 0;
    ++this->events;
  }
  return this->events <= this->max_events && this->bytes <= this->max_bytes &&
         this->empty_bytes <= kMaxEmptyBytes;
}

}  // namespace meadowthread
