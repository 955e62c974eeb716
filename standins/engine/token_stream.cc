#include "engine/token_stream.h"

#include <utility>

namespace meadowthread::standins {
namespace {

// A reader this far behind gets nothing more until it has read.
constexpr std::int64_t kMostPendingBytes = 256 * 1024;

}  // namespace

TokenStream::TokenStream(ExchangePtr exchange, const Generation* generation,
                         std::int64_t from)
    : exchange(std::move(exchange)), events(generation, from) {}

void TokenStream::Begin() {
  this->exchange->StartStream("text/event-stream", this->events.StartEvent());
}

bool TokenStream::Pump(const EngineFaults& faults, std::int64_t now_ms,
                       std::int64_t* count, std::string* buffer) {
  const bool idle = !this->events.HasNew() && this->late.empty();
  if (idle || this->exchange->PendingBytes() > kMostPendingBytes) {
    return false;
  }
  buffer->clear();
  this->events.AppendNew(faults, count, buffer);
  const bool delays = faults.late_ms > 0 || !this->late.empty();
  if (delays) {
    if (!buffer->empty()) {
      this->late.push_back({now_ms + faults.late_ms, *buffer});
    }
    buffer->clear();
    while (!this->late.empty() && this->late.front().due_ms <= now_ms) {
      buffer->append(this->late.front().text);
      this->late.pop_front();
    }
  }
  if (!buffer->empty()) {
    this->exchange->SendChunk(*buffer);
  }
  const bool over = this->events.IsOver() && this->late.empty();
  if (over) {
    this->exchange->EndStream();
  }
  return over;
}

}  // namespace meadowthread::standins
