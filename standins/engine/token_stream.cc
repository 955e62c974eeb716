#include "engine/token_stream.h"

#include <utility>

namespace meadowthread::standins {
namespace {

// Backpressure: a connection with more unsent bytes than this gets no further
// events until the reader has caught up.
constexpr std::int64_t kMaxPendingBytes = std::int64_t{256} << 10;

}  // namespace

TokenStream::TokenStream(ExchangePtr exchange, Generation* generation,
                         std::int64_t from)
    : exchange(std::move(exchange)), events(generation, from) {}

void TokenStream::Begin() {
  this->exchange->StartStream("text/event-stream", this->events.StartEvent());
}

PumpResult TokenStream::Pump(const EngineFaults& faults, std::int64_t now_ms,
                             std::int64_t* count, std::string* buffer) {
  if (!this->events.HasNew() && this->late.empty()) {
    return PumpResult::kUpToDate;
  }
  if (this->exchange->PendingBytes() > kMaxPendingBytes) {
    return PumpResult::kBehind;
  }
  buffer->clear();
  this->events.AppendNew(faults, count, buffer);
  if (faults.late_ms > 0 || !this->late.empty()) {
    this->Delay(now_ms + faults.late_ms, now_ms, buffer);
  }
  if (!buffer->empty()) {
    this->exchange->SendChunk(*buffer);
  }
  if (!this->late.empty()) {
    return PumpResult::kBehind;
  }
  if (!this->events.IsOver()) {
    return PumpResult::kUpToDate;
  }
  this->exchange->EndStream();
  return PumpResult::kOver;
}

void TokenStream::Delay(std::int64_t due_ms, std::int64_t now_ms,
                        std::string* buffer) {
  if (!buffer->empty()) {
    this->late.push_back({due_ms, *buffer});
  }
  buffer->clear();
  while (!this->late.empty() && this->late.front().due_ms <= now_ms) {
    buffer->append(this->late.front().text);
    this->late.pop_front();
  }
}

}  // namespace meadowthread::standins
