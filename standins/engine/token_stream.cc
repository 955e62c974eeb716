#include "engine/token_stream.h"

#include <utility>

namespace meadowthread::standins {
namespace {

// A reader this far behind gets nothing more until it has read.
constexpr std::int64_t kMostPendingBytes = std::int64_t{256} << 10;

}  // namespace

TokenStream::TokenStream(ExchangePtr exchange, Generation* generation,
                         std::int64_t from)
    : exchange(std::move(exchange)), events(generation, from) {}

void TokenStream::Begin() {
  this->exchange->StartStream("text/event-stream", this->events.StartEvent());
}

Pumped TokenStream::Pump(const EngineFaults& faults, std::int64_t now_ms,
                         std::int64_t* count, std::string* buffer) {
  if (!this->events.HasNew() && this->late.empty()) {
    return Pumped::kUpToDate;
  }
  if (this->exchange->PendingBytes() > kMostPendingBytes) {
    return Pumped::kBehind;
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
    return Pumped::kBehind;
  }
  if (!this->events.IsOver()) {
    return Pumped::kUpToDate;
  }
  this->exchange->EndStream();
  return Pumped::kOver;
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
